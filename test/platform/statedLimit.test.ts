import { expect } from "chai";
import { type PlatformSite, startPlatformSite, until } from "../support/platformSite.js";

/** From when on a limit binds, and over how long requests are counted, ms. */
const [noticeMs, windowMs] = [3_000, 4_000];
const limitPerSecond = 2;
const mostInWindow = 1.5 * limitPerSecond * windowMs / 1_000 + 5;

function mostIn(atMs: readonly number[]): number {
    return Math.max(0, ...atMs.map(fromMs => atMs.filter(other => other >= fromMs && other < fromMs + windowMs).length));
}

describe("an upstream that states a limit", function () {
    this.timeout(60_000);
    let site: PlatformSite;
    let isCalling = true;
    const statuses: (number | undefined)[] = [];

    before(async () => {
        site = await startPlatformSite({ net: 77, port: 22_700, pool: 6 });
    });

    after(() => site.stop());

    /** Calls for captions all the time: many at one entry, few at the other. */
    function call(entry: number, everyMs: number) {
        const timer = setInterval(() => {
            if (!isCalling) {
                clearInterval(timer);
                return;
            }
            void site.caption(entry).then(answer => statuses.push(answer.status));
        }, everyMs);
    }

    // Each entry went on sending as before, since none read the limit that the upstream names in its answers.
    it("gets no more than that from all entries together, and as much as before once it states none", async () => {
        call(0, 60);
        call(1, 250);
        const heads = () => site.pool().filter(runner => runner.membership?.state === "open" && runner.membership.rank === 0);
        const limited = heads()[0]!;
        await until("it serves", () => limited.runs.length > 5);
        limited.limitPerSecond = limitPerSecond;
        const namedAtMs = performance.now();
        await new Promise(resolve => setTimeout(resolve, noticeMs + 3 * windowMs));
        const whileLimited = limited.runs.map(run => run.atMs).filter(atMs => atMs > namedAtMs + noticeMs);
        limited.limitPerSecond = undefined;
        const before = limited.runs.length;
        await until("it is used as before", () => limited.runs.length > before + 40);
        isCalling = false;
        expect(mostIn(whileLimited), "in a window").to.be.at.most(mostInWindow);
        expect(whileLimited.length, "in use").to.be.at.least(limitPerSecond * 3 * windowMs / 1_000 / 2);
        expect(statuses.filter(status => status !== 200)).to.deep.equal([]);
    });
});
