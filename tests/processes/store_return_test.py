"""Lets the platform's store come back from an older copy while real hosts on loopback addresses use it.

Three hosts run with the settings template of the platform; see platform_standins.py for what surrounds them.
Each version of the configuration adds a route and drops one, so the answers of a host, 200 or 404, show which
version it has in force. A change must be in force at every host `IN_FORCE_SECONDS` after the store has taken
it; no other time is checked. Requests come one after another, so load plays no part.
CTest runs each case alone; `python3 store_return_test.py [CASE...]` runs them by hand.
"""
import sys
import time
import unittest

sys.dont_write_bytecode = True
from platform_standins import Platform, fleet  # noqa: E402  No bytecode may be written for it.

IN_FORCE_SECONDS = 3.2
OUTAGE_SECONDS = 1
LOST_CHANGES, LATER_CHANGES = 5, 3
KEPT_KEY, REVOKED_KEY = "kept-key", "revoked-key"
START_SECONDS = 15  # A limit against a test that never ends, which is no part of what is checked.


class StoreReturn(unittest.TestCase):
    """See the description of this file."""

    maxDiff = None

    def make_lost_changes(self, platform):
        """Makes changes and waits until they are in force. Returns a copy of the store that lacks them."""
        self.wait_until_ready(platform)
        earlier = platform.store.copy()
        for _ in range(LOST_CHANGES):
            platform.operator.change()
            time.sleep(0.3)
        self.assertTrue(fleet.wait_until(lambda: not platform.wrong_answers(), START_SECONDS),
                        "the changes before the outage are not in force")
        return earlier

    def wait_until_ready(self, platform):
        self.assertTrue(fleet.wait_until(platform.is_ready, START_SECONDS, 0.2), "a host is not ready")

    def interrupt(self, platform, earlier=None, outage=OUTAGE_SECONDS):
        """Takes the store away for some time. It comes back from the copy `earlier` if there is one."""
        platform.store.go_away()
        time.sleep(outage)
        platform.store.come_back(earlier)

    def write_again(self, platform):
        """Lets the operator write what the copy lacks."""
        time.sleep(0.5)
        platform.operator.write_again()
        time.sleep(1)

    def check_later_changes(self, platform):
        problems = []
        for number in range(1, LATER_CHANGES + 1):
            platform.operator.change()
            time.sleep(IN_FORCE_SECONDS)
            problems += [f"change {number}: {text}" for text in platform.wrong_answers()]
        self.assertEqual(problems, [])

    def test_changes_after_an_older_copy_are_not_ignored(self):
        with Platform() as platform:
            self.interrupt(platform, self.make_lost_changes(platform))
            self.write_again(platform)
            self.check_later_changes(platform)

    def test_older_copy_is_not_served_before_the_next_change(self):
        with Platform() as platform:
            self.interrupt(platform, self.make_lost_changes(platform))
            end = time.monotonic() + IN_FORCE_SECONDS
            while time.monotonic() < end:
                self.assertEqual(platform.wrong_answers(), [])
                time.sleep(0.1)
            self.check_later_changes(platform)

    def test_changes_after_an_outage_without_a_loss_are_not_ignored(self):
        with Platform() as platform:
            self.make_lost_changes(platform)
            self.interrupt(platform)
            time.sleep(0.5)
            self.check_later_changes(platform)

    def test_changes_after_two_older_copies_and_a_restart_are_not_ignored(self):
        with Platform() as platform:
            earlier = self.make_lost_changes(platform)
            self.interrupt(platform, earlier)
            time.sleep(0.5)
            platform.hosts[1].kill()
            platform.hosts[1].start()
            self.interrupt(platform, earlier, outage=0.5)
            self.write_again(platform)
            self.wait_until_ready(platform)
            self.check_later_changes(platform)

    def test_key_revoked_after_an_older_copy_is_refused(self):
        with Platform(keys=[KEPT_KEY, REVOKED_KEY]) as platform:
            self.interrupt(platform, self.make_lost_changes(platform))
            self.write_again(platform)
            self.check_key(platform, REVOKED_KEY, 200)
            platform.operator.keys = [KEPT_KEY]
            platform.operator.write()
            time.sleep(IN_FORCE_SECONDS)
            self.check_key(platform, REVOKED_KEY, 401)
            self.check_key(platform, KEPT_KEY, 200)

    def check_key(self, platform, key, status):
        answers = [host.call(platform.operator.prefixes[-1], key) for host in platform.hosts]
        self.assertEqual(answers, [status] * len(answers), f"answers to the {key}")

    def test_changes_after_an_older_copy_without_an_era_are_not_ignored(self):
        with Platform(names_era=False) as platform:
            self.interrupt(platform, self.make_lost_changes(platform))
            self.write_again(platform)
            self.check_later_changes(platform)


if __name__ == "__main__":
    names = [f"StoreReturn.test_{name}" for name in sys.argv[1:]]
    unittest.main(argv=sys.argv[:1] + names, verbosity=0)
