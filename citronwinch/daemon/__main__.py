from citronwinch.daemon import main

raise SystemExit(main())
