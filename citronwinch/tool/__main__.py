from citronwinch.tool import main

raise SystemExit(main())
