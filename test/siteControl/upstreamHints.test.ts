import { expect } from "chai";
import type { Upstream } from "../../src/fleet/index.js";
import { createHintWriter, type HintWriter, noHints, readHints } from "../../src/siteControl/upstreamHints.js";
import { createHint, createKnown, createLineLogger, createMemoryFiles } from "./builders.js";

const file = "folder/upstreams.json";
const pause = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

describe("remembered upstreams", () => {
    let memory: ReturnType<typeof createMemoryFiles>;
    let log: ReturnType<typeof createLineLogger>;
    let upstreams: Map<string, Upstream>;
    let writer: HintWriter;
    let skippedMs: number;
    let carried: ReturnType<typeof createHint>[];

    beforeEach(() => {
        memory = createMemoryFiles();
        log = createLineLogger();
        upstreams = new Map();
        skippedMs = 0;
        carried = [];
        writer = createHintWriter({
            files: memory.files, folder: "folder", logger: log.logger, upstreams, evacuated: () => ["c"], carriedHints: () => carried,
            nowMs: () => performance.now() + skippedMs, nowUnixMs: () => 1_000_000,
        });
    });

    afterEach(() => writer.stop());

    async function change(...changed: Upstream[]) {
        changed.forEach(upstream => upstreams.set(upstream.id, upstream));
        writer.upstreamsChanged(changed);
        await pause(10);
    }

    const read = () => readHints(memory.files, "folder", log.logger);

    // Guards against a file that loses the evacuation or the time until which an upstream is cold, both of which forbid its use.
    it("are read back as they were written, with what the previous process remembered", async () => {
        carried = [createHint("u3")];
        const coldUntilMs = performance.now() + 60_000;
        await change(createKnown("u1"), createKnown("u2", { coldUntilMs }), createKnown("u4", { isGone: true }));
        const { evacuated, upstreams: hints } = await read();
        expect(evacuated).to.deep.equal(["c"]);
        expect(hints.map(({ id }) => id)).to.deep.equal(["u1", "u2", "u3"]);
        expect(hints[0]).to.deep.equal(createHint("u1"));
        expect(hints[1]!.coldUntilUnixMs).to.be.closeTo(1_060_000, 1_000);
    });

    // Guards against a write for each heartbeat or change of a group, which would compete with the replicated log for the disk.
    it("are written only when an incarnation comes or goes, and not more often than every two seconds", async () => {
        await change(createKnown("u1"));
        await change(createKnown("u1", { group: { name: "lm/1", epoch: 1, rank: 0, state: "open" }, sequence: 9 }));
        await change(createKnown("u2"));
        expect(memory.state.writes).to.equal(1);
        skippedMs = 2_500;
        await change(createKnown("u3"));
        expect(memory.state.writes).to.equal(2);
    });

    // Guards against the use of an upstream whose drain was acknowledged shortly before all processes were killed.
    it("include a drain soon after it was announced", async () => {
        await change(createKnown("u1"));
        await change(createKnown("u1", { state: "draining" }));
        await pause(150);
        expect((await read()).upstreams[0]!.state).to.equal("draining");
    });

    // Guards against a start that fails because of the file.
    it("are none if the file is truncated, is of another version, or isn't there, with one log line", async () => {
        expect(await read()).to.deep.equal(noHints);
        expect(log.lines).to.deep.equal([]);
        await change(createKnown("u1"));
        const whole = memory.contents.get(file)!;
        for (const bytes of [whole.subarray(0, whole.length - 9), Buffer.from("{\"format\":2,\"evacuated\":[],\"upstreams\":[]}"), Buffer.alloc(0)]) {
            memory.contents.set(file, bytes);
            log.lines.length = 0;
            expect(await read()).to.deep.equal(noHints);
            expect(log.lines).to.deep.equal(["remembered upstreams cannot be read"]);
        }
    });

    // Guards against a start without any upstreams because of one that an older version has taken.
    it("are those that can be read if others in the file can't, with one log line", async () => {
        const upstreamsOf = (...hints: unknown[]) => Buffer.from(JSON.stringify({ format: 1, evacuated: ["c"], upstreams: hints }));
        memory.contents.set(file, upstreamsOf(createHint("u1"), createHint("u2", { address: "a/b:80" }), { ...createHint("u3"), slots: 1e300 }, 7));
        expect(await read()).to.deep.equal({ evacuated: ["c"], upstreams: [createHint("u1")] });
        expect(log.lines).to.deep.equal(["some remembered upstreams cannot be read"]);
    });

    // Guards against a daemon that fails, retries without pause or fills its log while the disk is full.
    it("stay as they were while the disk is full, with one log line", async () => {
        await change(createKnown("u1"));
        memory.state.isFull = true;
        skippedMs = 3_000;
        await change(createKnown("u2"));
        skippedMs = 20_000;
        await change(createKnown("u3"));
        expect(log.lines).to.deep.equal(["upstreams cannot be remembered"]);
        expect((await read()).upstreams.map(({ id }) => id)).to.deep.equal(["u1"]);
        memory.state.isFull = false;
        skippedMs = 40_000;
        await change(createKnown("u4"));
        expect((await read()).upstreams.map(({ id }) => id)).to.deep.equal(["u1", "u2", "u3", "u4"]);
    });
});
