import { expect } from "chai";
import { configurationText, operate } from "../../standin/platform/index.js";
import { type PlatformSite, startPlatformSite, until } from "../support/platformSite.js";

describe("a site whose settings name control daemons without a disk", function () {
    this.timeout(90_000);
    let site: PlatformSite;
    /** What all control daemons have said: the leader, who tells of voters, may change. */
    const said = () => site.processes.controls.map(({ id }) => site.processes.output(id)).join("");

    // The three that everybody starts from have no disk: three disks that none of the settings name must find each other through them.
    before(async () => {
        site = await startPlatformSite({ net: 74, port: 21_800, pool: 5, controls: 6, diskless: [0, 1, 2] });
        await until("three vote", () => said().split("votes from now on").length >= 3);
    });

    after(() => site.stop());

    const controlApi = (place: number) => site.processes.controlAddress(site.processes.controls[place]!);
    const read = async (place: number) => (await operate(controlApi(place), "GET", "/api/config/get")).text;
    const refers = (place: number) => fetch(`http://${controlApi(place)}/api/config/get?a=b`, { redirect: "manual", signal: AbortSignal.timeout(1_000) });

    // An operator is refused, or waits, for having called a control daemon that keeps nothing.
    it("refers an operator to each of the voters in turn", async () => {
        const expected = [3, 4, 5].map(place => `http://${controlApi(place)}/api/config/get?a=b`);
        await until("each voter is named", async () => {
            const answers = await Promise.all(Array.from({ length: 9 }, (_, count) => refers(count % 3)));
            expect(answers.map(answer => answer.status)).to.deep.equal(answers.map(() => 307));
            const locations = new Set(answers.map(answer => answer.headers.get("location")));
            return [...locations].sort().join() === expected.join();
        });
        const text = configurationText(40);
        expect(await site.publish(text, 1)).to.equal(200);
        expect(await read(2)).to.equal(text);
    });

    // A voter that answers no more is still among those that callers are sent to.
    it("refers nobody to a voter that is down", async () => {
        const lost = site.processes.controls[4]!;
        await site.processes.signal(lost.id, "SIGKILL");
        await until("it is named no more", async () => {
            const answers = await Promise.all([0, 1, 2, 0, 1, 2, 0, 1, 2].map(refers));
            return answers.every(answer => answer.status === 307 && !answer.headers.get("location")!.includes(`${lost.host}:`));
        });
        expect(await site.publish(configurationText(41), 0)).to.equal(200);
        site.processes.start(lost.id);
    });

    // Everything restarts at once: no daemon without a disk remembers a voter, and entries know nobody else.
    it("finds the voters again after all processes have ended at once", async () => {
        const { processes } = site;
        const all = [...processes.controls, ...processes.entries];
        await Promise.all(all.map(place => processes.signal(place.id, "SIGKILL")));
        all.forEach(place => processes.start(place.id));
        await until("the configuration is read back through each", async () => {
            const texts = await Promise.all(processes.controls.map((_, place) => read(place)));
            return texts.every(text => text === configurationText(41));
        });
        await until("captions are served", async () => (await site.caption(0)).status === 200 && (await site.caption(1)).status === 200);
    });

    // A voter loses its disk, and all that its settings name have none: it must find the leader through them.
    it("takes a wiped voter back in", async () => {
        const { processes } = site;
        const place = processes.controls[5]!;
        await processes.signal(place.id, "SIGKILL");
        processes.wipe(place.id);
        processes.start(place.id);
        await until("it votes again", () => said().includes(`${place.host} came back with a new disk`) &&
            said().lastIndexOf(`${place.host} has caught up and votes from now on`) > said().lastIndexOf(`${place.host} came back with a new disk`));
    });
});
