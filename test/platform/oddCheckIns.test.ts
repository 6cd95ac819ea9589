import { expect } from "chai";
import { callControlDaemon, configurationText } from "../../standin/platform/index.js";
import { oddBodies, soundCheckIn } from "../support/oddCheckIns.js";
import { type PlatformSite, startPlatformSite, waitUntil } from "../support/platformSite.js";

const farFuture = Date.now() + 86_400_000;
const soundId = "i-orders-0";
const servedForMs = 4_000;

describe("odd check-ins", function () {
    this.timeout(90_000);
    let site: PlatformSite;

    before(async () => {
        site = await startPlatformSite({ net: 93, port: 23_500, poolSize: 2 });
    });

    after(() => site.stop());

    // Guards against daemons that end, refuse sound requests or stop following because of what somebody else has sent.
    it("name no upstream and leave everything else as it is", async () => {
        const { processes } = site;
        const daemons = [...processes.controls, ...processes.entries];
        const bodies: (readonly [string, string])[] = [
            ...[...oddBodies().values()].map((body, index) => [`i-odd-${index}`, body] as const),
            [soundId, JSON.stringify({ ...soundCheckIn, born: farFuture })],
            [soundId, JSON.stringify({ ...soundCheckIn, address: "127.0.0.1:65536", seq: 1_000_000 })],
            [soundId, JSON.stringify({ ...soundCheckIn, seq: 2 ** 53 - 1 })],
            ["i-unknown", JSON.stringify({ ...soundCheckIn, service: "unknown" })],
            [encodeURIComponent("a\r\nb"), JSON.stringify(soundCheckIn)],
        ];
        const statuses = new Map<string, Set<number | undefined>>();
        let isEnding = false;
        const send = async (index: number, id: string, body: string) => {
            const { status } = await callControlDaemon(processes.controlAddress(processes.controls[index % 3]!), "POST", `/api/instances/${id}/heartbeat`, body);
            statuses.set(id, (statuses.get(id) ?? new Set()).add(status));
        };
        const sending = (async () => {
            for (let round = 0; !isEnding; round++) {
                // Many at once, though not more than a daemon accepts connections for.
                for (let first = 0; first < bodies.length; first += 20) {
                    await Promise.all(bodies.slice(first, first + 20).map(([id, body], index) => send(round + index, id, body)));
                }
            }
        })();
        const answers: (number | undefined)[] = [];
        const endsAtMs = performance.now() + servedForMs;
        while (performance.now() < endsAtMs) {
            const round = [0, 1].flatMap(entry => [site.sendRequest(entry, "GET", "/read/1"), site.requestCaption(entry)]);
            answers.push(...(await Promise.all(round)).map(({ status }) => status));
        }
        const expectSameProcesses = () => {
            expect(daemons.filter(({ id }) => !processes.isRunning(id)).map(({ id }) => id), "ended").to.deep.equal([]);
        };
        expectSameProcesses();
        expect(new Set(answers)).to.deep.equal(new Set([200]));
        await waitUntil("a new configuration is accepted", async () => await site.publish(configurationText(2)) === 200);
        const metricsOf = async (daemon: (typeof daemons)[number]) =>
            (await fetch(`http://${processes.metricsAddress(daemon)}/metrics`)).text();
        await waitUntil("it is in force everywhere", async () =>
            (await Promise.all(daemons.map(metricsOf))).every(text => /^zinnialanding_site_version 2$/m.test(text)));
        isEnding = true;
        await sending;
        expectSameProcesses();
        const outputs = daemons.map(({ id }) => processes.output(id));
        expect([...statuses].filter(([id, seen]) => id !== "i-unknown" && seen.has(200)).map(([id]) => id), "taken").to.deep.equal([]);
        const metrics = await Promise.all(daemons.map(metricsOf));
        expect(metrics.map(text => /^zinnialanding_exceptions_total.* (?!0$)/m.test(text)), "exceptions").to.deep.equal(daemons.map(() => false));
        expect(metrics.slice(0, 3).map(text => /^zinnialanding_inputs_refused_total\{kind="announcement"\} \d\d/m.test(text))).to.deep.equal([true, true, true]);
        expect(Math.max(...outputs.map(output => output.split("input refused").length)), "lines").to.be.below(12);
        // The upstream whose id others used still serves.
        const before = site.runners[0]!.arrivals.length;
        await Promise.all(Array.from({ length: 16 }, (_, index) => site.sendRequest(index % 2, "GET", "/read/1")));
        expect(site.runners[0]!.arrivals.length).to.be.above(before);
    });
});
