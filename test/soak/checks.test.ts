import { expect } from "chai";
import { type Bounds, findViolations } from "../../bench/soak/checks.js";
import type { Call, History, UpstreamRecord } from "../../bench/soak/history.js";
import type { ProcessRun } from "../../standin/platform/index.js";

const bounds: Bounds = {
    configurationAppliesMs: 2_000, evacuationAppliesMs: 5_000, contactMs: 3_000, drainMs: 2_000, recoveryMs: 10_000, coldPerSecond: 20,
    deadlineMs: 3_000, inFlightMs: 150, marginMs: 1_000,
};

function call(id: string, change: Partial<Call> = {}): Call {
    return {
        id, kind: "charge", entry: "entry-0", sentAtMs: 0, endedAtMs: 10, status: 200, isComplete: true, body: `done ${id}`, ...change,
    };
}

function upstream(change: Partial<UpstreamRecord> = {}): UpstreamRecord {
    return { id: "u1", zone: "dc-0", arrivals: [], runs: [], pushbacks: [], anomalies: [], crashTimesMs: [], ...change };
}

const emptyHistory: History = {
    calls: [], publications: [], reads: [], evacuations: [], outages: [], oddCheckIns: [], processes: [], upstreams: [],
    stalls: [], calmFromMs: 0, endedAtMs: 20_000,
};

/** A history without findings but for what `change` brings. */
function checksOf(change: Partial<History>): string[] {
    const history: History = {
        ...emptyHistory, ...change,
        calls: [...change.calls ?? [], call("last", { kind: "read", sentAtMs: 15_000, endedAtMs: 15_010 })],
    };
    return findViolations(history, bounds).map(({ check }) => check);
}

const run = (id: string) => ({ id, runner: "u1", tenant: undefined, atMs: 5 });
const at = (id: string, atMs: number, isCold = false) => ({ id, atMs, isCold });

describe("the checks of the soak", () => {
    it("find nothing in a sound history", () => {
        const upstreams = [upstream({ arrivals: [at("a", 5)], runs: [run("a")] })];
        expect(checksOf({ calls: [call("a")], upstreams })).to.deep.equal([]);
    });

    it("find requests that ran twice, false refusals, and answers that aren't the request's own", () => {
        const twice = upstream({ runs: [run("a"), run("a")] });
        expect(checksOf({ calls: [call("a")], upstreams: [twice] })).to.deep.equal(["runsAtMostOnce"]);
        expect(checksOf({ calls: [call("a", { status: 503 })], upstreams: [upstream({ runs: [run("a")] })] })).to.deep.equal(["refusalsAreTrue"]);
        for (const change of [{ body: "done b" }, { body: "" }, { body: "done " }, { status: 204, body: "" }]) {
            expect(checksOf({ calls: [call("a", change)] })).to.deep.equal(["answersAreWholeAndOwn"]);
        }
        expect(checksOf({ calls: [call("a", { kind: "caption", body: "" })] })).to.deep.equal(["answersAreWholeAndOwn"]);
        expect(checksOf({ calls: [call("a", { kind: "caption", body: "id: 1\ndata: a 1\n\n" })] })).to.deep.equal(["answersAreWholeAndOwn"]);
    });

    it("find requests during a pushback, unless the entry was disturbed", () => {
        const calls = ["a", "b", "c", "d"].map((id, index) => call(id, { sentAtMs: index * 1_000, endedAtMs: index * 1_000 + 10 }));
        const upstreams = [upstream({
            pushbacks: [{ ...at("a", 5), forMs: 5_000 }], arrivals: [at("a", 5), at("b", 1_005), at("c", 2_005), at("d", 3_005)],
        })];
        const outages = [{ daemon: "entry-0", kind: "unplanned" as const, fromMs: 500, toMs: 900 }];
        expect(checksOf({ calls, upstreams })).to.deep.equal(["pushbacksAreKept"]);
        expect(checksOf({ calls, upstreams, outages })).to.deep.equal([]);
        const leftAt = (leftAtMs: number) => calls.map(item => item.id === "a" ? { ...item, leftAtMs } : item);
        expect(checksOf({ calls: leftAt(4), upstreams })).to.deep.equal(["pushbacksAreKept"]);
        expect(checksOf({ calls: leftAt(-200), upstreams })).to.deep.equal([]);
    });

    it("find requests into an evacuated data centre, until its end was asked for, unless an entry or control was disturbed", () => {
        const calls = [call("a", { sentAtMs: 6_000, endedAtMs: 6_010 })];
        const start = { dataCentre: "dc-0", verb: "start" as const, sentAtMs: 500, acknowledgedAtMs: 900 };
        const end = { dataCentre: "dc-0", verb: "end" as const, sentAtMs: 5_950, acknowledgedAtMs: undefined };
        const history = { calls, upstreams: [upstream({ arrivals: [at("a", 6_005)] })] };
        const outages = [{ daemon: "control-1", kind: "unplanned" as const, fromMs: 500, toMs: 1_500 }];
        expect(checksOf({ ...history, evacuations: [start] })).to.deep.equal(["evacuatedDataCentresGetNothing"]);
        expect(checksOf({ ...history, evacuations: [start, end] })).to.deep.equal([]);
        expect(checksOf({ ...history, evacuations: [{ ...start, acknowledgedAtMs: 1_100 }] })).to.deep.equal([]);
        expect(checksOf({ ...history, evacuations: [start], outages })).to.deep.equal([]);
    });

    it("find a data centre without requests although its evacuation was ended", () => {
        const upstreams = [upstream(), upstream({ zone: "dc-1", arrivals: Array.from({ length: 100 }, (_, index) => at(`a${index}`, 11_000)) })];
        const end = { dataCentre: "dc-0", verb: "end" as const, sentAtMs: 500, acknowledgedAtMs: 900 };
        expect(checksOf({ upstreams, evacuations: [end] })).to.deep.equal(["returnedDataCentresAreUsed"]);
        expect(checksOf({ upstreams, evacuations: [{ ...end, dataCentre: "dc-1" }] })).to.deep.equal([]);
    });

    it("find requests to an upstream that has said to the entry that it leaves", () => {
        const calls = [call("a", { leavingUpstream: "u1" }), call("b", { sentAtMs: 2_500, endedAtMs: 2_510 })];
        const upstreams = [upstream({ arrivals: [at("a", 5), at("b", 2_505)] })];
        expect(checksOf({ calls, upstreams })).to.deep.equal(["leavingUpstreamsGetNothing"]);
    });

    it("find configurations that are stale, not in force in time, or gone again", () => {
        const publications = [
            { version: 1, sentAtMs: 0, keys: ["old"], acknowledgedAtMs: 10 }, { version: 2, sentAtMs: 50, keys: ["new"], acknowledgedAtMs: 100 },
        ];
        const route = (id: string, sentAtMs: number, status: number) =>
            call(id, { kind: "route", routeVersion: 2, sentAtMs, endedAtMs: sentAtMs + 10, status, body: `done ${id}` });
        expect(checksOf({ publications, reads: [{ daemon: "control-0", sentAtMs: 5_000, version: 1 }] })).to.deep.equal(["readsAreNotStale"]);
        expect(checksOf({ publications, calls: [route("a", 5_000, 404)] })).to.deep.equal(["configurationsApply"]);
        const later = { version: 6, sentAtMs: 4_000, keys: [], acknowledgedAtMs: undefined };
        expect(checksOf({ publications: [...publications, later], calls: [route("a", 5_000, 404)] })).to.deep.equal([]);
        expect(checksOf({ publications, calls: [route("a", 300, 200), route("b", 600, 404)] })).to.deep.equal(["configurationsNeverRevert"]);
    });

    it("find a key that is served after it was revoked, unless a daemon was disturbed", () => {
        const publications = [
            { version: 1, sentAtMs: 0, keys: ["old"], acknowledgedAtMs: 10 }, { version: 2, sentAtMs: 50, keys: ["new"], acknowledgedAtMs: 100 },
        ];
        const keyed = (key: string, sentAtMs: number) => call("a", { kind: "keyed", key, sentAtMs, endedAtMs: sentAtMs + 10 });
        const outages = [{ daemon: "control-1", kind: "unplanned" as const, fromMs: 0, toMs: 1_000 }];
        expect(checksOf({ publications, calls: [keyed("old", 1_000)] })).to.deep.equal([]);
        expect(checksOf({ publications, calls: [keyed("new", 5_000)] })).to.deep.equal([]);
        expect(checksOf({ publications, calls: [keyed("old", 5_000)] })).to.deep.equal(["revokedKeysAreRefused"]);
        expect(checksOf({ publications, calls: [keyed("old", 5_000)], outages })).to.deep.equal([]);
    });

    it("find more requests in a second than a cold upstream bears", () => {
        const calls = Array.from({ length: 21 }, (_, index) => call(`c${index}`, { sentAtMs: index * 40, endedAtMs: index * 40 + 10 }));
        const arrivals = calls.map(({ id, sentAtMs }) => at(id, sentAtMs, true));
        expect(checksOf({ calls, upstreams: [upstream({ arrivals })] })).to.deep.equal(["coldUpstreamsAreSpared"]);
        expect(checksOf({ calls, upstreams: [upstream({ arrivals: arrivals.slice(1) })] })).to.deep.equal([]);
    });

    it("find more requests than a limit allows, of entries that know it and weren't disturbed", () => {
        const calls = Array.from({ length: 32 }, (_, index) => call(`c${index}`, { sentAtMs: index * 130, endedAtMs: index * 130 + 10 }));
        const arrivals = [0, ...calls.slice(1).map(({ sentAtMs }) => 3_000 + sentAtMs)].map((atMs, index) =>
            ({ ...at(`c${index}`, atMs), limitPerSecond: 3 }));
        const outages = [{ daemon: "entry-0", kind: "unplanned" as const, fromMs: 0, toMs: 100 }];
        expect(new Set(checksOf({ calls, upstreams: [upstream({ arrivals })] }))).to.deep.equal(new Set(["statedLimitsAreKept"]));
        expect(checksOf({ calls, upstreams: [upstream({ arrivals: arrivals.slice(0, 24) })] })).to.deep.equal([]);
        expect(checksOf({ calls, upstreams: [upstream({ arrivals })], outages })).to.deep.equal([]);
    });

    it("find requests that were passed on and got no answer, and kinds of which none is served", () => {
        const lost = call("a", { status: undefined, isComplete: false, body: "" });
        const upstreams = [upstream({ arrivals: [at("a", 5)] })];
        expect(checksOf({ calls: [lost] })).to.deep.equal([]);
        expect(checksOf({ calls: [lost], upstreams })).to.deep.equal(["callersAreAnswered"]);
        expect(checksOf({ calls: [{ ...lost, leftAtMs: 7 }], upstreams })).to.deep.equal([]);
        const failed = Array.from({ length: 100 }, (_, index) => call(`c${index}`, { status: 502 }));
        expect(checksOf({ calls: failed })).to.deep.equal(["someAreServed"]);
    });

    it("find daemons that end by themselves, logs that don't say why, and exceptions", () => {
        const process = (change: Partial<ProcessRun>) =>
            ({ daemon: "entry-0", pid: 7, startedAtMs: 0, endOrders: [], end: undefined, output: "started\n", ...change });
        const ended = (status?: number, signal?: NodeJS.Signals) => ({ atMs: 9, status, signal });
        const output = "ending because of an exception\n";
        const cases: readonly (readonly [Partial<ProcessRun>, string[]])[] = [
            [{}, []],
            [{ end: ended(undefined, "SIGKILL"), endOrders: ["SIGKILL"] }, []],
            [{ end: ended(0), endOrders: ["SIGTERM"] }, []],
            [{ end: ended(1), output }, ["daemonsStay"]],
            [{ end: ended(1), endOrders: ["SIGTERM"], output }, ["daemonsStay"]],
            [{ end: ended(1), endOrders: ["SIGKILL"] }, ["daemonsStay", "logsSayWhy"]],
            [{ end: ended(0) }, ["daemonsStay", "logsSayWhy"]],
            [{ end: ended(undefined, "SIGABRT") }, ["daemonsStay"]],
            [{ output: "{\"message\":\"exception contained\"}" }, ["nothingThrows"]],
        ];
        cases.forEach(([change, found]) => expect(checksOf({ processes: [process(change)] })).to.deep.equal(found));
        const processes = [process({ end: ended(1), output: "first\nlast\n" })];
        expect(findViolations({ ...emptyHistory, processes }, bounds).find(({ check }) => check === "daemonsStay")).to.matchSnapshot();
    });

    it("find daemons that don't start", () => {
        expect(checksOf({ outages: [{ daemon: "entry-1", kind: "unplanned", fromMs: 5, toMs: Infinity }] })).to.deep.equal(["daemonsStart"]);
    });

    it("find odd check-ins that were taken up", () => {
        const checkIn = { name: "a port", id: "u1", isRefusable: true, daemon: "control-0", sentAtMs: 5, status: 200 };
        expect(checksOf({ oddCheckIns: [checkIn] })).to.deep.equal(["oddCheckInsAreRefused"]);
        expect(checksOf({ oddCheckIns: [{ ...checkIn, status: 400 }, { ...checkIn, isRefusable: false }] })).to.deep.equal([]);
    });

    it("find streams run after their callers left, unless the entry was disturbed, and requests held past their deadlines", () => {
        const left = call("a", { kind: "urgent", status: undefined, isComplete: false, leftAtMs: 200, endedAtMs: 200 });
        const upstreams = [upstream({ runs: [{ ...run("a"), atMs: 400 }] })];
        const outages = [{ daemon: "entry-0", kind: "unplanned" as const, fromMs: 300, toMs: 900 }];
        expect(checksOf({ calls: [left], upstreams })).to.deep.equal(["callersWhoLeftAreNotServed"]);
        expect(checksOf({ calls: [left], upstreams, outages })).to.deep.equal([]);
        expect(checksOf({ calls: [left], upstreams: [upstream({ runs: [{ ...run("a"), atMs: 340 }] })] })).to.deep.equal([]);
        expect(checksOf({ calls: [left], upstreams, stalls: [{ fromMs: 100, toMs: 249 }] })).to.deep.equal(["callersWhoLeftAreNotServed"]);
        expect(checksOf({ calls: [left], upstreams, stalls: [{ fromMs: 300, toMs: 410 }] })).to.deep.equal([]);
        const held = call("a", { endedAtMs: 4_100, status: 504 });
        expect(checksOf({ calls: [held] })).to.deep.equal(["deadlinesAreKept"]);
        expect(checksOf({ calls: [held], stalls: [{ fromMs: 3_500, toMs: 3_700 }] })).to.deep.equal([]);
        expect(checksOf({ calls: [held], outages })).to.deep.equal([]);
    });

    it("find requests with a part that crashes upstreams, once it is known, unless a daemon was disturbed", () => {
        const calls = [0, 1, 2, 3].map(index => call(`c${index}`, { kind: "crashing", status: 502 }));
        const crashTimesMs = [100, 200, 300, 400, 500];
        const arrivals = (atMs: number) => [upstream({ crashTimesMs, arrivals: calls.map(({ id }, index) => at(id, atMs + index)) })];
        expect(checksOf({ calls, upstreams: arrivals(3_600) })).to.deep.equal(["crashingPartsAreRefused"]);
        expect(checksOf({ calls: calls.slice(1), upstreams: arrivals(3_600) })).to.deep.equal([]);
        expect(checksOf({ calls, upstreams: arrivals(3_400) })).to.deep.equal([]);
        const outages = [{ daemon: "control-1", kind: "unplanned" as const, fromMs: 0, toMs: 700 }];
        expect(checksOf({ calls, upstreams: arrivals(3_600), outages })).to.deep.equal([]);
    });

    it("find an organisation that is never served, and urgent streams served less often than tolerant ones beyond chance", () => {
        const body = "123456".replace(/./g, "id: $&\ndata: a $&\n\n");
        const streams = (kind: "urgent" | "tolerant", organisation: string, served: number) => Array.from({ length: 100 }, (_, index) =>
            call("a", { kind, organisation, body, status: index < served ? 200 : 504 }));
        expect(checksOf({ calls: [...streams("urgent", "x", 50), ...streams("urgent", "y", 0)] })).to.deep.equal(["organisationsAreServed"]);
        expect(checksOf({ calls: [...streams("urgent", "x", 28), ...streams("tolerant", "x", 50)] }))
            .to.deep.equal(["urgentOnesAreServedAsOften"]);
        expect(checksOf({ calls: [...streams("urgent", "x", 32), ...streams("tolerant", "x", 50)] })).to.deep.equal([]);
    });

    it("find a slow reader's answer that lacks bytes and looks complete", () => {
        const whole = "123456".replace(/./g, "id: $&\ndata: a $&\n: whole\n\n");
        expect(checksOf({ calls: [call("a", { kind: "bulk", body: whole })] })).to.deep.equal([]);
        expect(checksOf({ calls: [call("a", { kind: "bulk", body: whole.replace(": whole", ": xx") })] }))
            .to.deep.equal(["answersAreWholeAndOwn"]);
    });

    it("find requests cut off by a planned stop, unsound groups, and a site that doesn't recover", () => {
        const outages = [{ daemon: "entry-0", kind: "planned" as const, fromMs: 2, toMs: 500 }];
        const cutOff = call("a", { status: undefined, isComplete: false, body: "" });
        expect(checksOf({ calls: [cutOff], outages, upstreams: [upstream({ arrivals: [at("a", 5)] })] })).to.deep.equal(["plannedStopsLoseNothing"]);
        expect(checksOf({ upstreams: [upstream({ anomalies: ["two groups"] })] })).to.deep.equal(["groupsAreSound"]);
        const failing = Array.from({ length: 9 }, (_, index) => call(`f${index}`, { kind: "read", sentAtMs: 12_000, status: 502 }));
        expect(checksOf({ calls: failing })).to.deep.equal(["recovers"]);
        const captions = Array.from({ length: 20 }, (_, index) => call(`f${index}`, { kind: "caption", sentAtMs: 12_000, status: 503 }));
        const reads = Array.from({ length: 20 }, (_, index) => call(`r${index}`, { kind: "read", sentAtMs: 12_000 }));
        expect(checksOf({ calls: [...captions, ...reads] })).to.deep.equal(["recovers"]);
        expect(checksOf({ publications: [{ version: 1, sentAtMs: 12_000, keys: [], acknowledgedAtMs: undefined }] })).to.deep.equal(["recovers"]);
    });
});
