import { expect } from "chai";
import { type PlatformSite, startPlatformSite, waitUntil } from "../support/platformSite.js";

const callIntervalMs = 20;
/** An upstream that has said that it leaves gets nothing from the entry it told after this time, and from no other soon after. */
const drainMs = 2_000;

describe("an upstream that says in its answers that it leaves", function () {
    this.timeout(60_000);
    let site: PlatformSite;

    before(async () => {
        site = await startPlatformSite({ net: 79, port: 22_800, poolSize: 4 });
    });

    after(() => site.stop());

    // Guards against entries that go on sending to an upstream that leaves while its heartbeats say that it is ready, or don't get through.
    it("gets nothing more from any entry, and callers are served elsewhere", async () => {
        const statuses: (number | undefined)[] = [];
        let calls = 0;
        const timer = setInterval(() => {
            void site.requestCaption(calls++ % 2).then(answer => statuses.push(answer.status));
        }, callIntervalMs);
        const heads = site.poolRunners().filter(runner => runner.membership?.state === "open" && runner.membership.rank === 0);
        await waitUntil("both heads serve", () => heads.every(head => head.runs.length > 5));
        const [leaving] = heads as [typeof heads[number]];
        leaving.saysLeaving = true;
        await new Promise(resolve => setTimeout(resolve, drainMs));
        const arrivalsBefore = leaving.arrivals.length;
        await new Promise(resolve => setTimeout(resolve, drainMs));
        clearInterval(timer);
        await waitUntil("all calls are answered", () => statuses.length === calls);
        expect(leaving.arrivals.length - arrivalsBefore).to.equal(0);
        expect(statuses.filter(status => status !== 200)).to.deep.equal([]);
    });
});
