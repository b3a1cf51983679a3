"""Guards against treating a store that holds no configuration as a failed store."""

from citronwinch.platform import StoreClient
from citronwinch.platform.standins import StandInStore
from citronwinch.platform.tests.test_store_contract import run_with_store


def test_missing_configuration_is_not_an_error() -> None:
    async def check(store: StandInStore, client: StoreClient) -> None:
        store.delete("op/config")
        answer = await client.read_configuration()
        assert answer.ok.configuration is None

    run_with_store(check)
