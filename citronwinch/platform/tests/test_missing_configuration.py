"""A store without a configuration is not a store that fails."""

from citronwinch.platform import StoreClient
from citronwinch.platform.standins import StandInStore
from citronwinch.platform.tests.test_store_contract import play


def test_no_configuration_yet_is_an_answer() -> None:
    async def scene(store: StandInStore, client: StoreClient) -> None:
        store.delete("op/config")
        answer = await client.read_configuration()
        assert answer.ok.configuration is None

    play(scene)
