import { expect } from "chai";
import { callControlDaemon, type DaemonSpec } from "../../standin/platform/index.js";
import { type PlatformSite, startPlatformSite, waitUntil } from "../support/platformSite.js";

type Verb = "start" | "end";

const dataCentre = "dc-1";
/** Time for a stopped process to read what waits for it, to hand it on, and for entries to act on it. */
const settleMs = 1_500;

describe("an operator's call that a control daemon reads late", function () {
    this.timeout(90_000);
    let site: PlatformSite;

    before(async () => {
        site = await startPlatformSite({ net: 83, port: 22_900, poolSize: 2 });
    });

    after(() => site.stop());

    const call = async (control: DaemonSpec, verb: Verb) =>
        (await callControlDaemon(site.processes.controlAddress(control), "POST", `/api/evacuations/${dataCentre}/${verb}`)).status;

    const callUntilAcknowledged = (control: DaemonSpec, verb: Verb) =>
        waitUntil(`${verb} is acknowledged`, async () => await call(control, verb) === 200, 5_000);

    async function findLeader(): Promise<DaemonSpec> {
        let found: DaemonSpec | undefined;
        await waitUntil("a control daemon leads", async () => {
            const metrics = await Promise.all(site.processes.controls.map(control =>
                callControlDaemon(site.processes.metricsAddress(control), "GET", "/")));
            found = site.processes.controls.find((_, index) => /^zinnialanding_leads 1$/m.test(metrics[index]!.text));
            return found !== undefined;
        });
        return found!;
    }

    /**
     * Sends plain requests through both entries; returns how many of them the upstream of the data centre ran. They are sent at once: an
     * entry sends requests that come one after the other to the upstream to which it has an idle connection.
     */
    async function countRunsInDataCentre(): Promise<number> {
        const upstream = site.runners.find(({ id }) => id === "i-orders-1")!;
        const before = upstream.runs.length;
        const answers = await Promise.all(Array.from({ length: 20 }, (_, index) => site.sendRequest(index % 2, "GET", "/read/1")));
        expect(new Set(answers.map(({ status }) => status))).to.deep.equal(new Set([200]));
        return upstream.runs.length - before;
    }

    /**
     * An operator's call is left in the socket of a stopped daemon, another daemon acknowledges it, and then its opposite. Returns how many
     * requests the data centre gets once the stopped daemon goes on.
     */
    async function leaveLateCall(stopped: DaemonSpec, late: Verb): Promise<number> {
        const newer: Verb = late === "end" ? "start" : "end";
        const other = site.processes.controls.find(control => control !== stopped)!;
        await callUntilAcknowledged(stopped, newer);
        await site.processes.signal(stopped.id, "SIGSTOP");
        expect(await call(stopped, late)).to.equal(undefined);
        await callUntilAcknowledged(other, late);
        await callUntilAcknowledged(other, newer);
        await site.processes.signal(stopped.id, "SIGCONT");
        await new Promise(resolve => setTimeout(resolve, settleMs));
        return countRunsInDataCentre();
    }

    for (const role of ["a follower", "the leader"] as const) {
        const choose = async () => {
            const leader = await findLeader();
            return role === "the leader" ? leader : site.processes.controls.find(control => control !== leader)!;
        };

        // Guards against an evacuation that nobody withdrew and that is over for all entries: an old `end` undoes a newer `start`.
        it(`ends no evacuation that began after it, if ${role} stood still`, async () => {
            expect(await leaveLateCall(await choose(), "end")).to.equal(0);
        });

        // Guards against a data centre that stays without work until an operator acts: an old `start` undoes a newer `end`.
        it(`begins no evacuation that was ended after it, if ${role} stood still`, async () => {
            expect(await leaveLateCall(await choose(), "start")).to.be.above(0);
        });
    }
});
