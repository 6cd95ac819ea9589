import { expect } from "chai";
import { configurationText, operate } from "../../standin/platform/index.js";
import { type PlatformSite, startPlatformSite, until } from "../support/platformSite.js";

describe("a site of real daemons in trouble", function () {
    this.timeout(90_000);
    let site: PlatformSite;

    before(async () => {
        site = await startPlatformSite({ net: 73, port: 21_700, pool: 9, spareControls: 1 });
    });

    after(() => site.stop());

    // A control VM is gone for good and an empty one comes at another address. The newcomer is taken in without an operator; after that
    // another of the first three may be lost as well: what was acknowledged is read back from the two that are left, and changes go on.
    it("replaces a control VM by an empty one at another address", async () => {
        const { processes, publish } = site;
        const [lost, other, newcomer] = [processes.controls[2]!, processes.controls[1]!, processes.controls[3]!];
        const text = configurationText(30);
        expect(await publish(text)).to.equal(200);
        await processes.signal(lost.id, "SIGKILL");
        processes.start(newcomer.id);
        const read = async () => (await operate(processes.controlAddress(newcomer), "GET", "/api/config/get")).text;
        await until("the newcomer reads what was acknowledged", async () => await read() === text, 25_000);
        await until("the newcomer votes", () => processes.controls.some(control =>
            processes.output(control.id).includes(`${newcomer.host} has caught up and votes from now on`)), 25_000);
        await until("the lost one has no vote any more", () => processes.controls.some(control =>
            processes.output(control.id).includes(`${lost.host} has been silent for long; it votes no more`)), 30_000);
        await processes.signal(other.id, "SIGKILL");
        await until("a change is accepted by the two that are left", async () => await publish(configurationText(31), 3) === 200, 20_000);
        processes.start(other.id);
        await until("captions are served", async () => (await site.caption(0)).status === 200);
    });

    // One request ends every engine that begins to run it. Its caller sends it again and again, through both entries. After three engines
    // it is refused at once and reaches no other, and everybody else is served by what is left.
    it("stops a request that crashes engines after three of them", async () => {
        const poison = "/caption/crash";
        site.pool().forEach(runner => {
            runner.crashPath = poison;
        });
        const crashes = () => site.pool().reduce((sum, runner) => sum + runner.crashes, 0);
        for (let sends = 0; sends < 30; sends++) {
            const answer = await site.caption(sends % 2, poison);
            expect(answer.isWhole && answer.status === 200).to.equal(false);
            await new Promise(resolve => setTimeout(resolve, 150));
        }
        const after = crashes();
        expect(after).to.be.at.least(3);
        expect(after).to.be.at.most(5);
        const refused = await site.caption(0, poison);
        expect(refused.status).to.equal(503);
        expect(crashes()).to.equal(after);
        await until("others are served at both entries", async () =>
            (await site.caption(0)).status === 200 && (await site.caption(1)).status === 200);
    });
});
