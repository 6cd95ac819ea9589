import { expect } from "chai";
import { createRandom, type Random } from "../../bench/random.js";
import { applyCommand, type ClusterState, emptyCluster, type ProposalResult } from "../../src/cluster/index.js";
import { createEvacuations } from "../../src/siteControl/evacuations.js";
import type { Logger } from "../../src/telemetry/index.js";

const logger = { info: () => undefined } as unknown as Logger;
const settle = () => new Promise(resolve => setImmediate(resolve));

/** So many of the calls and commands are held up, for so many steps at most. */
const [heldUpShare, maxHeldUpSteps] = [0.3, 60];

interface OperatorCall {
    readonly isOut: boolean;
    isWaiting: boolean;
    isAcknowledged: boolean;
}

/**
 * Several daemons that see the log with a delay, and an operator who sends one order after the other, each again to another daemon until it
 * is acknowledged. Daemons may read a call, and the log carry out what they hand to it, at any later time.
 */
async function playOrders(random: Random, steps: number): Promise<string[]> {
    let state: ClusterState = emptyCluster;
    const seen = [emptyCluster, emptyCluster, emptyCluster];
    const onTheirWay: { readonly dueStep: number; arrive(): void }[] = [];
    let step = 0;
    const findings: string[] = [];
    const daemons = seen.map((_, daemon) => createEvacuations({
        log: { get state() {
            return seen[daemon]!;
        }, term: 1, leaderAddress: undefined },
        logger, nowMs: () => 0,
        propose: command => new Promise<ProposalResult>(resolve => deliver(() => {
            const applied = applyCommand(state, command);
            ({ state } = applied);
            seen[daemon] = state;
            resolve({ outcome: "applied", result: applied.result, index: step });
        })),
    }));
    let held: boolean | undefined;
    let current: OperatorCall | undefined;

    function deliver(arrive: () => void) {
        onTheirWay.push({ dueStep: step + (random() < heldUpShare ? random() * maxHeldUpSteps : 0), arrive });
    }

    function send(isOut: boolean) {
        const call: OperatorCall = { isOut, isWaiting: true, isAcknowledged: false };
        current = call;
        const evacuate = daemons[Math.floor(random() * daemons.length)]!;
        const operator = { isWaiting: () => Promise.resolve(call.isWaiting) };
        deliver(() => void evacuate("a", isOut, operator).then(outcome => {
            if (outcome === "accepted" && call.isWaiting) {
                call.isAcknowledged = true;
                call.isWaiting = false;
            }
        }));
    }

    for (; step < steps; step++) {
        const choice = random();
        const due = onTheirWay.filter(({ dueStep }) => dueStep <= step);
        if (current?.isAcknowledged) {
            held = current.isOut;
            current = undefined;
        }
        else if (current === undefined && choice < 0.3) {
            held = undefined;
            send(random() < 0.5);
        }
        else if (current !== undefined && choice < 0.3) {
            current.isWaiting = false;
            send(current.isOut);
        }
        else if (due.length > 0 && choice < 0.8) {
            const next = due[Math.floor(random() * due.length)]!;
            onTheirWay.splice(onTheirWay.indexOf(next), 1);
            next.arrive();
        }
        else {
            seen[Math.floor(random() * seen.length)] = state;
        }
        await settle();
        if (held !== undefined && state.published.evacuated.includes("a") !== held) {
            findings.push(`step ${step}: ${held ? "start" : "end"} was acknowledged and holds no more`);
        }
    }
    return findings;
}

const waiting = { isWaiting: () => Promise.resolve(true) };

/** A daemon that sees the log as `seen` while the log's state begins as `state`. */
function createDaemon(seen: ClusterState, state: ClusterState = emptyCluster) {
    const log = { state };
    const evacuate = createEvacuations({
        log: { state: seen, term: 1, leaderAddress: undefined }, logger, nowMs: () => 0,
        propose(command) {
            const applied = applyCommand(log.state, command);
            log.state = applied.state;
            return Promise.resolve({ outcome: "applied", result: applied.result, index: 1 });
        },
    });
    return { evacuate, log };
}

describe("operators' starts and ends of evacuations", () => {
    // Guards against an acknowledged order that is undone by an earlier one, wherever that was held up.
    it("hold once acknowledged, whatever is carried out late and in whatever order", async () => {
        for (let seed = 1; seed <= 100; seed++) {
            expect(await playOrders(createRandom(seed), 200), `seed ${seed}`).to.deep.equal([]);
        }
    });

    // Guards against an operator who is refused because another data centre was evacuated at the same moment.
    it("are handed to the log again while their operator waits", async () => {
        const { evacuate, log } = createDaemon(emptyCluster);
        expect(await evacuate("a", true, waiting)).to.equal("accepted");
        expect(await evacuate("b", true, waiting)).to.equal("accepted");
        expect(log.state.published.evacuated).to.deep.equal(["a", "b"]);
    });

    // Guards against names that nobody has and that fill the log, and against an operator who can't take one back.
    it("are refused for names that no data centre can have, and beyond a thousand names", async () => {
        const names = Array.from({ length: 1_000 }, (_, index) => `dc-${index}`);
        const full: ClusterState = { ...emptyCluster, published: { ...emptyCluster.published, evacuated: names } };
        const { evacuate, log } = createDaemon(full, full);
        const outcomes: string[] = [];
        for (const [name, isOut] of [["", true], ["x".repeat(1_000), true], ["", false], ["other", true], ["dc-7", true], ["dc-7", false]] as const) {
            outcomes.push(await evacuate(name, isOut, waiting));
        }
        expect(outcomes).to.deep.equal(["refused", "refused", "refused", "refused", "accepted", "accepted"]);
        expect(log.state.published.evacuated.length).to.equal(999);
    });
});
