import { expect } from "chai";
import { type PlatformSite, startPlatformSite, waitUntil } from "../support/platformSite.js";

/** Within this time of an event, daemons in touch must act on it. */
const contactMs = 3_000;
/** From `contactMs` after the fifth crash on, so many requests with the part may still reach engines. */
const [crashesUntilKnown, maxLateRequests] = [5, 3];
const [soundIntervalMs, crashingIntervalMs] = [25, 120];
const [systemPart, crashingPart] = ["5c1e07a2", "c4a51991"];

interface Call {
    readonly atMs: number;
    readonly status: number | undefined;
}

describe("a part of prompts that crashes engines", function () {
    this.timeout(90_000);
    let site: PlatformSite;
    let calls = 0;

    before(async () => {
        site = await startPlatformSite({ net: 79, port: 22_800, poolSize: 6 });
    });

    after(() => site.stop());

    /** Sends a request whose path, id and last part are its own. */
    function requestWithParts(id: string, ...sharedParts: string[]) {
        const parts = [...sharedParts, `aa${calls++}`].map(part => `${part}:10`);
        return site.sendRequest(calls % 2, "POST", `/caption/${id}`, {
            id, body: id,
            headers: { "zinnialanding-model": "lm", "zinnialanding-token-usage": "20,30", "zinnialanding-prefix-hash": parts.join(",") },
        });
    }

    function sendEvery(intervalMs: number, prefix: string, ...sharedParts: string[]) {
        const ended: Call[] = [];
        const timer = setInterval(() => {
            const atMs = performance.now();
            void requestWithParts(`${prefix}${calls}`, ...sharedParts).then(({ status }) => ended.push({ atMs, status }));
        }, intervalMs);
        return { ended, stop: () => clearInterval(timer) };
    }

    function servedShare(ended: readonly Call[], fromMs: number, untilMs: number): number {
        const sent = ended.filter(({ atMs }) => atMs >= fromMs && atMs < untilMs);
        return sent.filter(({ status }) => status === 200).length / sent.length;
    }

    // Guards against one engine after the other crashing under requests that share a part and are otherwise different.
    it("reaches few engines once it has crashed some, and requests with the same caller and other parts are served", async () => {
        const sound = sendEvery(soundIntervalMs, "sound", systemPart);
        await waitUntil("sound requests are served", () => sound.ended.filter(({ status }) => status === 200).length > 40);
        site.poolRunners().forEach(runner => {
            runner.crashPart = crashingPart;
        });
        const startedAtMs = performance.now();
        const crashing = sendEvery(crashingIntervalMs, "crashing", systemPart, crashingPart);
        await new Promise(resolve => setTimeout(resolve, 5 * contactMs));
        [sound, crashing].forEach(({ stop }) => stop());
        const endedAtMs = performance.now();
        const crashTimesMs = site.poolRunners().flatMap(runner => runner.crashTimesMs).sort((a, b) => a - b);
        const knownAtMs = (crashTimesMs[crashesUntilKnown - 1] ?? crashTimesMs.at(-1)!) + contactMs;
        const lateArrivals = site.poolRunners().flatMap(runner => runner.arrivals)
            .filter(({ id, atMs }) => id.startsWith("crashing") && atMs > knownAtMs);
        expect(crashTimesMs).not.to.deep.equal([]);
        expect(lateArrivals.length, `after ${crashTimesMs.length} crashes`).to.be.at.most(maxLateRequests);
        const usualShare = servedShare(sound.ended, 0, startedAtMs);
        expect(servedShare(sound.ended, knownAtMs + contactMs, endedAtMs - contactMs / 2)).to.be.at.least(usualShare / 2);
    });

    // Guards against a restarted entry or a new control leader that sends the part to engines again because it has forgotten the crashes.
    it("stays refused at an entry that starts again, under another control leader", async () => {
        const countCrashes = () => site.poolRunners().reduce((sum, runner) => sum + runner.crashes, 0);
        const { processes } = site;
        const leads = (id: string) => /zinnialanding_leads 1/.test(metricsOf.get(id) ?? "");
        const metricsOf = new Map<string, string>();
        const leader = async () => {
            for (const control of processes.controls) {
                metricsOf.set(control.id, await fetch(`http://${processes.metricsAddress(control)}/metrics`).then(answer => answer.text(), () => ""));
            }
            return processes.controls.find(({ id }) => leads(id))?.id;
        };
        const [before, crashes] = [await leader(), countCrashes()];
        const entry = processes.entries[0]!.id;
        await Promise.all([processes.signal(before!, "SIGKILL"), processes.signal(entry, "SIGKILL")]);
        processes.start(entry);
        await waitUntil("another control daemon leads", async () => ![undefined, before].includes(await leader()));
        await waitUntil("the entry serves again", async () => {
            calls += calls % 2 === 0 ? 1 : 0;
            return (await requestWithParts(`sound-again-${calls}`, systemPart).catch(() => undefined))?.status === 200;
        });
        const answers = await Promise.all(Array.from({ length: 20 }, (_, index) => requestWithParts(`crashing-again-${index}`, systemPart, crashingPart)));
        expect(new Set(answers.map(({ status }) => status))).to.deep.equal(new Set([503]));
        expect(countCrashes()).to.equal(crashes);
        processes.start(before!);
    });
});
