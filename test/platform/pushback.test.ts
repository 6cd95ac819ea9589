import { expect } from "chai";
import type { Runner } from "../../standin/platform/index.js";
import { type PlatformSite, startPlatformSite, waitUntil } from "../support/platformSite.js";

const pushbackS = 3;
/** From `activationMs` after a pushback until its end, an upstream may get `maxRequests` requests from the VM that it has answered. */
const [activationMs, maxRequests] = [500, 2];
const [callIntervalMs, refusedForMs] = [10, 300];

describe("an upstream that pushes back", function () {
    this.timeout(60_000);
    let site: PlatformSite;

    before(async () => {
        site = await startPlatformSite({ net: 78, port: 22_750, poolSize: 4 });
    });

    after(() => site.stop());

    /** Returns how many requests of the same entry have reached the upstream while it wanted none, for each pushback. */
    function countDuringPushbacks({ pushbacks, arrivals }: Runner, entryOf: ReadonlyMap<string, number>): number[] {
        return pushbacks.map(({ id, atMs }) => {
            const fromSameEntry = arrivals.filter(arrival => entryOf.get(arrival.id) === entryOf.get(id));
            return fromSameEntry.filter(arrival => arrival.atMs > atMs + activationMs && arrival.atMs < atMs + pushbackS * 1_000).length;
        });
    }

    // Guards against an entry that sends on to an upstream that has answered 503 with Retry-After, before that time is over.
    it("gets no further requests from the same entry until its time is over, and callers are served elsewhere", async () => {
        const heads = site.poolRunners().filter(runner => runner.membership?.state === "open" && runner.membership.rank === 0);
        const statuses: (number | undefined)[] = [];
        const entryOf = new Map<string, number>();
        let calls = 0;
        const timer = setInterval(() => {
            const [entry, id] = [calls % 2, `call-${calls++}`];
            entryOf.set(id, entry);
            void site.requestCaption(entry, "/caption/1", id).then(answer => statuses.push(answer.status));
        }, callIntervalMs);
        const [refusing] = heads as [Runner];
        await waitUntil("both heads serve", () => heads.every(head => head.runs.length > 5));
        refusing.pushbackS = pushbackS;
        await new Promise(resolve => setTimeout(resolve, refusedForMs));
        refusing.pushbackS = undefined;
        const runsBefore = refusing.runs.length;
        await new Promise(resolve => setTimeout(resolve, pushbackS * 1_000));
        await waitUntil("it gets requests again", () => refusing.runs.length > runsBefore + 10);
        clearInterval(timer);
        await waitUntil("all calls are answered", () => statuses.length === calls);
        expect(refusing.pushbacks).not.to.deep.equal([]);
        expect(Math.max(...countDuringPushbacks(refusing, entryOf))).to.be.at.most(maxRequests);
        expect(statuses.filter(status => status !== 200)).to.deep.equal([]);
    });
});
