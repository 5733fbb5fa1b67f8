#include "cli/usage.h"

namespace cairnhollow::cli {

const char* const kUsage = R"(cairnhollow: declares and watches a fleet of database proxies.

Objects (Proxy, Backend, DatabaseGroup, Route) carry labels; selectors over labels say which traffic goes
where. Every command talks to the control nodes; any of them will do.

Usage:
  cairnhollow apply (-f PATH)... [--server=ADDRESS]... [options]
  cairnhollow diff (-f PATH)... [--server=ADDRESS]... [options]
  cairnhollow get KIND [NAME...] [--server=ADDRESS]... [options]
  cairnhollow describe KIND [NAME...] [--server=ADDRESS]... [options]
  cairnhollow delete (-f PATH)... [--server=ADDRESS]... [options]
  cairnhollow delete KIND [NAME...] [--server=ADDRESS]... [options]
  cairnhollow label KIND WORD... [--server=ADDRESS]... [options]
  cairnhollow drain KIND [NAME...] [--server=ADDRESS]... [options]
  cairnhollow evacuate ZONE [--end] [--server=ADDRESS]... [options]
  cairnhollow status [NAME...] [--server=ADDRESS]... [options]
  cairnhollow events [NAME...] [--server=ADDRESS]... [options]
  cairnhollow explain DATABASE KEY [--label=LABEL]... [--server=ADDRESS]... [options]
  cairnhollow explain --request-id=ID (--log=FILE)... [options]
  cairnhollow explain --request-id=ID [--server=ADDRESS]... [options]
  cairnhollow member list [--server=ADDRESS]... [options]
  cairnhollow member add NODE [--server=ADDRESS]... [options]
  cairnhollow member remove NODE [--server=ADDRESS]... [options]
  cairnhollow member replace NODE REPLACEMENT [--server=ADDRESS]... [options]
  cairnhollow switchover [GROUP] [--server=ADDRESS]... [options]
  cairnhollow wait [REVISION] [--server=ADDRESS]... [options]
  cairnhollow --help
  cairnhollow --version

Commands:
  apply       Creates or updates the objects of manifests, all or none.
  diff        Shows what apply would change.
  get         Lists objects; KIND is proxy, backend, group, route or all.
  describe    Shows an object with what is known of it now; of a group also what happened to it.
  delete      Deletes objects, all or none.
  label       Sets (key=value) or removes (key-) labels of named or selected objects.
  drain       Takes new work away from proxies or backends; --undo gives it back.
  evacuate    Takes new work away from all backends with the label zone=ZONE, as drain does; --end gives it
              back.
  status      Shows control nodes, database groups and proxies; of a large fleet a summary by zone with the
              groups and proxies that need a look. Names or -l show only those groups, backends and proxies.
  events      Shows failovers, elections, drains, member changes and their causes; with names or -l those
              of the named or selected objects and nodes.
  explain     Asks a proxy which backends it would use for a statement, and why not the others; with --log
              tells what processes logged of a request and of what they believed meanwhile.
  member      Lists and changes the control nodes that hold the configuration.
  switchover  Hands the primary role of database groups over, without losing a write.
  wait        Waits until a revision is in force on every serving proxy.

Options:
  -s ADDRESS, --server=ADDRESS      Operator endpoint of a control node; give several to have them tried in
                                    turn. Else taken from CAIRNHOLLOW_SERVERS (separated by commas).
  -f PATH, --filename=PATH          A manifest, a folder of manifests (*.yaml, *.yml), or - for standard
                                    input.
  -l SELECTOR, --selector=SELECTOR  Objects by labels, e.g. 'zone=petone,tier in (a,b),!legacy'.
  -o FORMAT, --output=FORMAT        table, yaml or json [default: table].
  --wait                            Return once the change is in force on every serving proxy.
  --timeout=DURATION                When to give up, e.g. 500ms, 10s, 2m [default: 10s].
  --operator=NAME                   Who makes the change; else the user's login name.
  --change-id=ID                    With -f: send exactly what the files say, under this id: a script that
                                    repeats it after a lost answer gets the first answer.
  --at-revision=NUMBER              With --change-id: the revision seen when the id was chosen ('wait' prints
                                    it); a repeat says the same.
  --undo                            With drain: give work again.
  --end                             With evacuate: the zone's backends may be used again.
  --all                             With get and status: print every line. Else tables of get end after
                                    200 objects, and status summarizes more than 50 groups or 100 proxies.
  --to=SELECTOR                     With switchover: which backends may become primary.
  --since=NUMBER                    With events: the next ones with a higher number, else the latest ones.
  --limit=NUMBER                    With events: so many at most; with --since, of each node [default: 100].
  --write                           With explain: a write (else a read).
  --label=LABEL                     With explain: a label of the statement, key=value.
  --token=TOKEN                     With explain: the session token.
  --request-id=ID                   With explain: a request that was served, SESSION/NUMBER; with --log any id.
  --log=FILE                        With explain: log lines of one or more processes; give all files there are.
  --proxy=ADDRESS                   With explain: the proxy to ask; else those selected by -l.
  --endpoint=ADDRESS                With member add and replace: where control nodes reach the node.
  --zone=ZONE                       With member add and replace: the node's zone.
  -h, --help                        Show this text.
  --version                         Show the version.

Exit codes:
  0 done, 1 refused, 2 wrong usage, 3 conflict with another change, 4 outcome unknown (send it again),
  5 no control node could answer, 6 accepted but not yet in force, 7 diff found differences.

Examples:
  cairnhollow apply -f examples/study-card/manifests --wait -s 127.0.0.1:21021
  cairnhollow drain backend -l zone=petone
  cairnhollow status -l zone=petone
  cairnhollow events study-records-1
  cairnhollow switchover -l service=study-records --to zone=kelburn
  cairnhollow explain learner card-17 --write
  cairnhollow explain --request-id=8f31 --log=proxy-1.log --log=proxy-2.log --log=control-1.log
)";

}  // namespace cairnhollow::cli
