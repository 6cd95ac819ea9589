import { expect } from "chai";
import { configurationText, eventIds, eventsPerAnswer, operate, type SiteProcesses } from "../../standin/platform/index.js";
import { openCaller, requestBytes } from "../support/gatewaySite.js";
import { type PlatformSite, startPlatformSite, until } from "../support/platformSite.js";

const everyEvent = Array.from({ length: eventsPerAnswer }, (_, place) => place + 1);

describe("a site of real daemons before runners of the platform", function () {
    this.timeout(60_000);
    let started: PlatformSite;
    let site: SiteProcesses;
    let ask: PlatformSite["ask"];
    let caption: PlatformSite["caption"];
    let publish: PlatformSite["publish"];
    let pool: PlatformSite["pool"];

    before(async () => {
        started = await startPlatformSite({ net: 71, port: 21_500, pool: 5 });
        ({ processes: site, ask, caption, publish, pool } = started);
    });

    after(() => started.stop());

    it("serves streams whole and plain services once, with the caller's organisation", async () => {
        const answers = await Promise.all([caption(0), caption(1), caption(0)]);
        answers.forEach(answer => expect(eventIds(answer.body)).to.deep.equal(everyEvent));
        const charge = await ask(1, "POST", "/charge/1", { body: "amount=1" });
        expect(charge.status).to.equal(200);
        const runs = started.runners.flatMap(runner => runner.runs).filter(run => run.id === charge.id);
        expect(runs.map(run => run.tenant)).to.deep.equal(["studio"]);
    });

    it("refuses what no route, no key and no valid configuration allows", async () => {
        const extra = { name: "r", host: "a", pathPrefix: "/x/", kind: "idempotent" };
        const statuses = [
            (await ask(0, "GET", "/nowhere/1")).status,
            (await ask(0, "GET", "/read/1", { headers: { "api-key": "unknown" } })).status,
            await publish("{\"version\": 9"),
            await publish(configurationText(9, { routes: [{ ...extra, timeoutMs: 0, service: "orders" }] })),
            await publish(configurationText(9, { routes: [{ ...extra, timeoutMs: 9, service: "none" }] })),
        ];
        expect(statuses).to.deep.equal([404, 401, 400, 400, 400]);
    });

    // A configuration that has been acknowledged is in force at every entry soon after, and an older one that comes late changes nothing.
    it("puts a configuration in force at every entry and reads it back as it was sent", async () => {
        const route = { name: "new", host: "shop.example", pathPrefix: "/new/", kind: "idempotent", timeoutMs: 900, service: "orders" };
        const text = configurationText(5, { routes: [route] });
        expect(await publish(text, 1)).to.equal(200);
        const isServed = async (entry: number) => (await ask(entry, "GET", "/new/1")).status === 200;
        await until("the new route serves at both entries", async () => await isServed(0) && await isServed(1), 2_000);
        expect(await publish(configurationText(3), 2)).to.equal(200);
        for (const control of site.controls) {
            expect((await operate(site.controlAddress(control), "GET", "/api/config/get")).text).to.equal(text);
        }
        expect((await ask(0, "GET", "/new/1")).status).to.equal(200);
    });

    // A member that is not the head goes dark under running streams. Nothing moves at the head; callers get the rest of their streams from
    // another group, each event once, and the spare takes the lost member's place.
    it("goes on with streams elsewhere when a member goes dark, and repairs the group", async () => {
        const head = pool().find(runner => runner.membership?.state === "open")!;
        const lost = pool().find(runner => runner.membership?.name === head.membership!.name && runner !== head)!;
        const asked = Array.from({ length: 8 }, (_, place) => caption(place % 2));
        await new Promise(resolve => setTimeout(resolve, 60));
        lost.isDark = true;
        const answers = await Promise.all(asked);
        answers.filter(answer => answer.isWhole).forEach(answer =>
            expect(eventIds(answer.body)).to.deep.equal(everyEvent));
        expect(answers.filter(answer => answer.isWhole).length).to.be.at.least(6);
        await until("two groups are open again", () => pool().filter(runner => !runner.isDark && runner.membership?.state === "open").length === 2);
        lost.isDark = false;
    });

    // The control leader is killed. Entries go on by what they know; the others elect a leader, which takes the groups over as they are.
    // The member that was dark still reports the group that ended without it; the new leader may have it leave, not knowing that.
    it("serves on while the control leader is replaced, and accepts changes again", async () => {
        const metricsOf = (index: number) => operate(site.metricsAddress(site.controls[index]!), "GET", "/");
        const isLeader = async (index: number) => /^zinnialanding_leads 1$/m.test((await metricsOf(index)).text);
        let leader = -1;
        await until("a leader tells so", async () => {
            const leading = await Promise.all(site.controls.map((_, index) => isLeader(index)));
            leader = leading.indexOf(true);
            return leader >= 0;
        });
        const openNames = new Set(pool().filter(runner => runner.membership?.state === "open").map(runner => runner.membership!.name));
        expect(openNames.size).to.equal(2);
        const inOpenGroups = () => pool().map(runner => openNames.has(runner.membership?.name ?? "") ? runner.membership!.name : undefined);
        const groups = inOpenGroups();
        await site.signal(site.controls[leader]!.id, "SIGKILL");
        expect((await caption(0)).status).to.equal(200);
        await until("a change is accepted", async () => await publish(configurationText(20), (leader + 1) % 3) === 200);
        site.start(site.controls[leader]!.id);
        await until("the restarted daemon reads the newest configuration", async () =>
            (await operate(site.controlAddress(site.controls[leader]!), "GET", "/api/config/get")).text === configurationText(20));
        expect(inOpenGroups()).to.deep.equal(groups);
        expect(pool().filter(runner => runner.membership?.state === "open")).to.have.length(2);
    });

    // A control daemon loses its disk with its process. It comes back with nothing, may not vote until it has caught up, and then counts.
    it("takes a control daemon with a wiped disk back in without an operator", async () => {
        const place = site.controls[2]!;
        await site.signal(place.id, "SIGKILL");
        site.wipe(place.id);
        site.start(place.id);
        await until("it reads the newest configuration", async () =>
            (await operate(site.controlAddress(place), "GET", "/api/config/get")).text === configurationText(20));
        await until("it votes again", () => site.controls.some(control => site.output(control.id).includes("127.71.1.3 has caught up and votes from now on")));
    });

    // An upstream says that it leaves. From the acknowledgement on it gets nothing new.
    it("sends nothing to an upstream that leaves or whose data centre is evacuated", async () => {
        const [first, second] = started.runners.filter(runner => runner.id.startsWith("i-orders"));
        await first!.drain();
        await new Promise(resolve => setTimeout(resolve, 300));
        const before = first!.runs.length;
        for (let place = 0; place < 6; place++) {
            expect((await ask(place % 2, "GET", "/read/1")).status).to.equal(200);
        }
        expect(first!.runs.length).to.equal(before);
        expect((await operate(site.controlAddress(site.controls[0]!), "POST", "/api/evacuations/dc-1/start")).status).to.equal(200);
        await until("the last upstream gets nothing", async () => (await ask(0, "GET", "/read/1")).status === 503, 3_000);
        expect((await operate(site.controlAddress(site.controls[1]!), "POST", "/api/evacuations/dc-1/end")).status).to.equal(200);
        await until("it gets requests again", async () => (await ask(0, "GET", "/read/1")).status === 200, 3_000);
        expect(second!.runs.length).to.be.above(0);
    });

    // An entry is stopped while streams run through it. It says at once that it is not ready and lets every stream end.
    it("ends every request before an entry that is stopped is gone", async () => {
        const asked = Array.from({ length: 5 }, () => caption(1));
        await new Promise(resolve => setTimeout(resolve, 80));
        const stopped = site.signal(site.entries[1]!.id, "SIGTERM");
        await new Promise(resolve => setTimeout(resolve, 100));
        expect((await operate(site.readyAddress(site.entries[1]!), "GET", "/")).status).to.equal(503);
        const answers = await Promise.all(asked);
        expect(answers.every(answer => answer.isWhole && answer.status === 200)).to.equal(true);
        await stopped;
    });

    // A request taken on a kept or an unused connection after the listener has closed is given up when the process leaves.
    it("leaves no connection open that an entry could take a late request from", async () => {
        const place = site.entries[0]!;
        const [host, port] = site.callersAddress(place).split(":");
        const kept = await openCaller(Number(port), host);
        const read = (id: string) => requestBytes("GET", "/read/1", { id });
        kept.send(read("kept-1"));
        await until("the first answer has come", () => kept.text.includes("HTTP/1.1 200"));
        const stopped = site.signal(place.id, "SIGTERM");
        await until("the entry stops", () => site.output(place.id).includes("\"message\":\"stopping\""));
        // Opened before, it could reach the limit for a first request, which Node ends it at, just as the listener closes.
        await new Promise(resolve => setTimeout(resolve, 1_000));
        const unused = await openCaller(Number(port), host);
        kept.send(read("kept-2"));
        await until("the kept connection ends with its answer", () => kept.isEnded);
        expect(kept.text.match(/HTTP\/1\.1 200/g)).to.have.length(2);
        expect(kept.text.match(/Connection: close/g)).to.have.length(1);
        await stopped;
        const closed = site.output(place.id).split("\n").find(line => line.includes("\"message\":\"listener closed\""))!;
        expect(JSON.parse(closed)).to.include({ closed: 1, connections: 0, running: 0 });
        await until("the unused connection ends", () => unused.isEnded);
    });
});
