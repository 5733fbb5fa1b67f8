"""Faults of a running deployment. Each brings one about, heals it, and says what it did."""

import time

from fleetlib.fleet import FleetError

FREEZE_SECONDS = 3
DOWN_SECONDS = 2
CUT_SECONDS = 5
POLL_SECONDS = 0.05
LAG_MILLISECONDS = 500
SPOILED_SHARE = 0.02
ANSWER_DELAY_MILLISECONDS = 300


def freeze_primary(deployment):
    group = deployment.groups()[0]
    old = deployment.fleet.primary_of(group)
    deployment.fleet.freeze(old)
    begun = time.monotonic()
    new = wait_for_another_primary(deployment, group, old)
    seconds = time.monotonic() - begun
    time.sleep(FREEZE_SECONDS)
    deployment.fleet.thaw(old)
    return f"{old} frozen, {new} primary after {seconds:.1f} s, {old} thawed"


def kill_primary(deployment):
    group = deployment.groups()[1]
    old = deployment.fleet.primary_of(group)
    deployment.fleet.kill(old)
    new = wait_for_another_primary(deployment, group, old)
    time.sleep(DOWN_SECONDS)
    deployment.fleet.restart(old)
    return f"{old} killed, {new} primary, {old} started again"


def wait_for_another_primary(deployment, group, old):
    new = deployment.fleet.primary_of(group)
    if new == old:
        raise FleetError(f"{group} still has {old} as its primary")
    return new


def kill_replica(deployment):
    replica = deployment.replica_of(deployment.groups()[2])
    kill_and_restart(deployment, [replica])
    return f"{replica} killed and started again"


def kill_proxy(deployment):
    proxy = deployment.nodes("proxy")[0].name
    kill_and_restart(deployment, [proxy])
    return f"{proxy} killed and started again"


def drain_proxy(deployment):
    proxy = deployment.nodes("proxy")[1].name
    deployment.fleet.terminate(proxy)
    deployment.fleet.wait_until_ended(proxy)
    deployment.fleet.restart(proxy)
    return f"{proxy} drained, ended and started again"


def freeze_leader(deployment):
    leader = deployment.control_leader()
    deployment.fleet.freeze(leader)
    time.sleep(FREEZE_SECONDS)
    deployment.fleet.thaw(leader)
    return f"{leader} frozen and thawed, {deployment.control_leader()} leads"


def kill_leader(deployment):
    leader = deployment.control_leader()
    kill_and_restart(deployment, [leader])
    return f"{leader} killed and started again, {deployment.control_leader()} leads"


def kill_control(deployment):
    names = [node.name for node in deployment.nodes("control")]
    kill_and_restart(deployment, names)
    return f"{', '.join(names)} killed and started again, {deployment.control_leader()} leads"


def wipe_replica(deployment):
    replica = deployment.replica_of(deployment.groups()[0])
    deployment.fleet.kill(replica)
    deployment.fleet.wipe(replica)
    deployment.fleet.restart(replica)
    return f"{replica} lost its data folder and was started again"


def cut_primary_from_replicas(deployment):
    """Its clients and control nodes still reach it: it must acknowledge nothing and be replaced."""
    group = deployment.groups()[0]
    old = deployment.fleet.primary_of(group)
    replicas = [name for name in deployment.members(group) if name != old]
    deployment.fleet.cut([old], replicas)
    begun = time.monotonic()
    while deployment.fleet.primary_of(group) == old and time.monotonic() < begun + CUT_SECONDS:
        time.sleep(POLL_SECONDS)
    seconds = time.monotonic() - begun
    new = deployment.fleet.primary_of(group)
    time.sleep(FREEZE_SECONDS)
    deployment.fleet.heal()
    if new == old:
        raise FleetError(f"{old} was cut from its replicas and is still primary after {seconds:.1f} s")
    return f"{old} cut from its replicas, {new} primary after {seconds:.1f} s, healed"


def cut_leader_from_voters(deployment):
    """Its proxies still reach it: it must renew no lease."""
    leader = deployment.control_leader()
    others = [node.name for node in deployment.nodes("control") if node.name != leader]
    deployment.fleet.cut([leader], others)
    time.sleep(CUT_SECONDS)
    new = deployment.leader_known_to(others[0])
    deployment.fleet.heal()
    if new in (None, leader):
        raise FleetError(f"{leader} was cut from the other voters for {CUT_SECONDS} s, and {others[0]} follows {new}")
    return f"{leader} cut from the other voters for {CUT_SECONDS} s, {new} leads"


def cut_zone(deployment):
    zones = sorted({node.zone for node in deployment.fleet.nodes().values() if node.zone})
    deployment.fleet.cut(zones[:1], zones[1:])
    time.sleep(CUT_SECONDS)
    check_only_others_serve(deployment, zones[0])
    deployment.fleet.heal()
    return f"zone {zones[0]} cut from the others for {CUT_SECONDS} s"


def cut_zone_one_way(deployment):
    zones = sorted({node.zone for node in deployment.fleet.nodes().values() if node.zone})
    deployment.fleet.cut(zones[1:2], zones[:1] + zones[2:], both_ways=False)
    time.sleep(CUT_SECONDS)
    check_only_others_serve(deployment, zones[1])
    deployment.fleet.heal()
    return f"zone {zones[1]} heard by no other for {CUT_SECONDS} s"


def check_only_others_serve(deployment, zone):
    """A proxy without a way to the quorum must have stopped when its lease ended; all others must serve."""
    for proxy in deployment.nodes("proxy"):
        serves = deployment.fleet.is_ready(proxy)
        if serves == (proxy.zone == zone):
            raise FleetError(f"{zone} was cut off for {CUT_SECONDS} s, and {proxy.name} in {proxy.zone} "
                             f"{'still serves' if serves else 'does not serve'}")


def lag_replica(deployment):
    replica = deployment.replica_of(deployment.groups()[1])
    deployment.fleet.tune(replica, {"replication_lag_ms": LAG_MILLISECONDS})
    time.sleep(FREEZE_SECONDS)
    deployment.fleet.tune(replica, {"replication_lag_ms": 0})
    return f"{replica} lagged by {LAG_MILLISECONDS} ms"


def spoil_answers(deployment):
    primary = deployment.fleet.primary_of(deployment.groups()[2])
    shares = ["delayed_answers", "crossed_answers", "duplicated_answers", "short_bodies"]
    spoiled = {share: SPOILED_SHARE for share in shares}
    deployment.fleet.tune(primary, {"answer_delay_ms": ANSWER_DELAY_MILLISECONDS, **spoiled})
    time.sleep(FREEZE_SECONDS)
    deployment.fleet.tune(primary, {share: 0 for share in shares})
    return f"{primary} spoiled {SPOILED_SHARE:.0%} of its answers in each of {len(shares)} ways"


def kill_and_restart(deployment, names):
    for name in names:
        deployment.fleet.kill(name)
    time.sleep(DOWN_SECONDS)
    for name in names:
        deployment.fleet.restart(name)


FAULTS = {
    "freeze-primary": freeze_primary,
    "kill-primary": kill_primary,
    "kill-replica": kill_replica,
    "kill-proxy": kill_proxy,
    "drain-proxy": drain_proxy,
    "freeze-leader": freeze_leader,
    "kill-leader": kill_leader,
    "kill-control": kill_control,
    "wipe-replica": wipe_replica,
    "cut-primary": cut_primary_from_replicas,
    "cut-leader": cut_leader_from_voters,
    "cut-zone": cut_zone,
    "cut-zone-one-way": cut_zone_one_way,
    "lag-replica": lag_replica,
    "spoil-answers": spoil_answers,
}
