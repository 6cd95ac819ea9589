import { callControlDaemon, type DaemonSpec } from "../../standin/platform/index.js";
import { createFeedWatcher, type FeedWatcher } from "../../src/feed/index.js";
import { type PlatformSite, startPlatformSite, waitUntil } from "../support/platformSite.js";

/** The port on which control daemons listen for other daemons. */
const rpcPort = 23_003;

describe("a verdict of a control leader that stops", function () {
    this.timeout(60_000);
    let site: PlatformSite;
    let watcher: FeedWatcher;
    /** What entries have been told, in order: the control daemon, and the upstreams that it takes for silent. */
    const verdicts: { readonly from: string; readonly lostIds: readonly string[] }[] = [];

    before(async () => {
        site = await startPlatformSite({ net: 84, port: rpcPort - 3, poolSize: 2 });
        watcher = createFeedWatcher({
            daemonId: "entry-9", isEntry: true, dataCentre: "dc-0", onHeardChanged: () => undefined,
            onFrame(frame, from) {
                if (frame.kind === "judged") {
                    verdicts.push({ from, lostIds: frame.lostIds });
                }
            },
        });
        watcher.watch(site.processes.controls.map(({ host }) => `${host}:${rpcPort}`));
    });

    after(async () => {
        watcher.close();
        await site.stop();
    });

    async function metricsOf(daemon: DaemonSpec): Promise<string> {
        return (await callControlDaemon(site.processes.metricsAddress(daemon), "GET", "/")).text;
    }

    async function findLeader(): Promise<DaemonSpec> {
        let found: DaemonSpec | undefined;
        await waitUntil("a control daemon leads", async () => {
            const metrics = await Promise.all(site.processes.controls.map(metricsOf));
            found = site.processes.controls.find((_, index) => /^zinnialanding_leads 1$/m.test(metrics[index]!));
            return found !== undefined;
        });
        return found!;
    }

    // Guards against an upstream that gets nothing for good: the leader that took it for silent stopped before it could withdraw that, and
    // the next leader, which has no verdict, published none.
    it("is withdrawn by the next leader", async () => {
        const upstream = site.runners.find(({ id }) => id === "i-orders-1")!;
        const leader = await findLeader();
        upstream.isPoweredOff = true;
        await waitUntil("it is taken for silent", () => verdicts.at(-1)?.lostIds.includes(upstream.id) === true);
        await site.processes.signal(leader.id, "SIGSTOP");
        upstream.isPoweredOff = false;
        await waitUntil("another daemon withdraws that", () => verdicts.at(-1)?.lostIds.length === 0 && !verdicts.at(-1)!.from.startsWith(leader.host));
        await site.processes.signal(leader.id, "SIGCONT");
    });
});
