import { expect } from "chai";
import { type PlatformSite, startPlatformSite, waitUntil } from "../support/platformSite.js";

describe("a site whose processes are all killed at once", function () {
    this.timeout(60_000);
    let site: PlatformSite;

    before(async () => {
        site = await startPlatformSite({ net: 75, port: 21_900, poolSize: 5 });
    });

    after(() => site.stop());

    // The upstreams and their groups stand, but no process knows any address. No heartbeat gets through afterwards, so whatever is served
    // comes from the remembered upstreams. The one whose drain was acknowledged before the crash must get nothing.
    it("serves from its remembered upstreams before any heartbeat", async () => {
        const { processes, runners } = site;
        const drained = runners.find(runner => runner.id.startsWith("i-orders"))!;
        await drained.drain();
        // Longer than the interval at which the upstreams are written.
        await new Promise(resolve => setTimeout(resolve, 2_500));
        runners.forEach(runner => (runner.sendsHeartbeats = false));
        const daemons = [...processes.controls, ...processes.entries];
        await Promise.all(daemons.map(({ id }) => processes.signal(id, "SIGKILL")));
        const runsBefore = drained.runs.length;
        daemons.forEach(({ id }) => processes.start(id));
        await waitUntil("both entries serve streams and plain requests", async () => {
            const answers = await Promise.all([0, 1].flatMap(entry => [site.requestCaption(entry), site.sendRequest(entry, "GET", "/read/1")]));
            return answers.every(({ status }) => status === 200);
        });
        expect(drained.runs.length).to.equal(runsBefore);
    });
});
