import { expect } from "chai";
import type { Entry, Identity, Membership, Message, Payload } from "../../src/consensus/messages.js";
import { createPromises, playLife, type Promises, type Script, type ScriptStep } from "../support/endingVoter.js";
import { createSimulatedDisk, type EndPoint, type SimulatedDisk } from "../support/simulatedDisk.js";

const [b, c]: readonly [Identity, Identity] = [{ voterId: "b", diskId: "b0" }, { voterId: "c", diskId: "c0" }];
const clusterId = "cluster";
const membership: Membership = { clusterId, formed: true, voters: [b, c].map(voter => ({ ...voter, address: `${voter.voterId}:1` })) };

/** The log of a leader: entry N has the term at position N - 1. Entries at `membershipIndexes` change the membership. */
function logOf(terms: readonly number[], membershipIndexes: readonly number[] = [1]): Entry[] {
    return terms.map((term, position): Entry => {
        const payload: Payload = membershipIndexes.includes(position + 1) ? { kind: "membership", membership } : { kind: "no-op" };
        return { index: position + 1, term, payload };
    });
}

function termsOf(log: readonly Entry[]): ReadonlyMap<number, number> {
    return new Map(log.map(({ index, term }) => [index, term]));
}

/** The leader of `term` sends its log after `prevIndex`. */
function append(from: Identity, term: number, log: readonly Entry[], commitIndex: number, prevIndex = 0): ScriptStep {
    const prevTerm = log[prevIndex - 1]?.term ?? 0;
    const entries = log.slice(prevIndex);
    return {
        from,
        message: { kind: "append", clusterId, term, prevIndex, prevTerm, entries, commitIndex, round: 1, sentAtMs: 0 },
        senderTerms: termsOf(log),
    };
}

/** The leader of `term` sends a snapshot of its log up to `index`. */
function snapshot(from: Identity, term: number, log: readonly Entry[], index: number): ScriptStep {
    const data = { index, term: log[index - 1]!.term, membership, data: {} };
    return {
        from,
        message: { kind: "snapshot", clusterId, term, snapshot: data, round: 1, sentAtMs: 0 },
        senderTerms: termsOf(log.slice(0, index)),
    };
}

function askForVote(from: Identity, term: number, log: readonly Entry[]): ScriptStep {
    const { index: lastIndex, term: lastTerm } = log.at(-1) ?? { index: 0, term: 0 };
    return { from, message: { kind: "vote", clusterId, term, lastIndex, lastTerm, transfer: true } };
}

const firstTerm = logOf(Array(16).fill(1));
/** Each entry is about as large as a snapshot. */
const largeEntries = logOf(Array(8).fill(1), Array.from({ length: 8 }, (_, index) => index + 1));
const diverging = logOf([1, 1, ...Array(14).fill(2)]);
const helloResponse: Message = { kind: "hello-response", empty: true, voterIds: ["a", "b", "c"] };

const scripts: Record<string, Script> = {
    "votes of rivals and appended entries": {
        peers: [b, c],
        steps: [
            askForVote(b, 1, []), askForVote(c, 1, []), append(b, 1, firstTerm.slice(0, 2), 1),
            askForVote(c, 2, diverging), askForVote(b, 2, diverging),
            append(c, 2, diverging.slice(0, 4), 3), append(c, 2, diverging.slice(0, 5), 5, 4),
        ],
    },
    "a replaced tail and changes of the membership": {
        peers: [b, c],
        steps: [
            append(b, 1, logOf([1, 1, 1, 1], [1, 3]), 2), append(c, 2, logOf([1, 1, 2, 2, 2], [1, 4]), 2),
            append(b, 3, logOf([1, 1, 2, 3], [1, 4]), 4),
        ],
    },
    "segments that are full after each write": {
        peers: [b, c],
        segmentBytes: 1,
        steps: [
            append(b, 1, firstTerm.slice(0, 2), 1), append(b, 1, firstTerm.slice(0, 3), 3, 2),
            askForVote(c, 2, firstTerm), askForVote(b, 2, firstTerm),
        ],
    },
    "a snapshot taken over after missed entries": {
        peers: [b, c],
        steps: [
            append(b, 1, firstTerm.slice(0, 3), 3), snapshot(b, 1, firstTerm, 10),
            append(b, 1, firstTerm.slice(0, 12), 11, 10),
            append(b, 1, firstTerm.slice(0, 13), 13, 12),
        ],
    },
    "a snapshot that replaces a diverging log": {
        peers: [b, c],
        steps: [
            append(b, 1, firstTerm, 1), snapshot(c, 2, diverging, 10), append(c, 2, diverging.slice(0, 12), 12, 10),
            askForVote(b, 2, diverging),
        ],
    },
    "snapshots of its own": {
        peers: [b, c],
        snapshotLogBytes: 500,
        steps: [
            append(b, 1, largeEntries.slice(0, 3), 3), append(b, 1, largeEntries.slice(0, 6), 4, 3),
            append(b, 1, largeEntries.slice(0, 8), 7, 6),
        ],
    },
    "an empty disk that catches up": {
        peers: [b, c],
        steps: [
            askForVote(b, 2, firstTerm), snapshot(b, 2, firstTerm, 10), append(b, 2, firstTerm.slice(0, 11), 11, 10),
            askForVote(c, 2, firstTerm),
        ],
    },
    "the forming of a cluster": {
        peers: [b, c],
        mayForm: true,
        steps: [
            { from: b, message: helloResponse }, { from: c, message: helloResponse },
            { from: b, message: { kind: "pre-vote-response", term: 0, forTerm: 2, granted: true } },
            { from: c, message: { kind: "pre-vote-response", term: 0, forTerm: 2, granted: true } },
        ],
    },
};

/** What becomes of the disk when the last of several processes ends. */
const lastEnds: Record<string, (disk: SimulatedDisk) => void> = {
    "is killed": () => undefined,
    "loses power, and all that was not synced": disk => disk.losePower("nothing"),
    "loses power, and the content of files that was not synced": disk => disk.losePower("entries"),
};

/** Plays lives that end as stated, one after the other on one disk. */
async function playEndedLives(script: Script, ends: readonly EndPoint[], disk: SimulatedDisk, promises: Promises): Promise<void> {
    for (const end of ends) {
        await playLife(script, disk, promises, end);
    }
}

/** Returns where the life after `ends` can end. */
async function findEndPoints(script: Script, ends: readonly EndPoint[]): Promise<readonly EndPoint[]> {
    const disk = createSimulatedDisk();
    await playEndedLives(script, ends, disk, createPromises());
    await playLife(script, disk, createPromises());
    return disk.endPoints;
}

function describeEnds(ends: readonly EndPoint[]): string {
    return ends.map(({ afterOperations, isTorn }) => `${afterOperations}${isTorn ? " (torn)" : ""}`).join(", then ");
}

/** Ends the voter after each file operation, and after each one of its next life. Returns which promises it broke. */
async function findBrokenPromises(script: Script, onLastEnd: (disk: SimulatedDisk) => void): Promise<string[]> {
    const found: string[] = [];

    async function check(ends: readonly EndPoint[]) {
        const [disk, promises] = [createSimulatedDisk(), createPromises()];
        try {
            await playEndedLives(script, ends, disk, promises);
            onLastEnd(disk);
            await playLife(script, disk, promises);
            // What that life has acknowledged has to be on the disk as well.
            await playLife(script, disk, promises);
        }
        catch (error) {
            promises.broken.push((error as Error).message);
        }
        found.push(...promises.broken.map(text => `ended after operation ${describeEnds(ends)}: ${text}`));
    }

    for (const first of await findEndPoints(script, [])) {
        await check([first]);
        for (const second of await findEndPoints(script, [first])) {
            await check([first, second]);
        }
    }
    return found;
}

describe("a voter that ends after any file operation, also twice in a row", () => {
    for (const [lastEnd, onLastEnd] of Object.entries(lastEnds)) {
        for (const [name, script] of Object.entries(scripts)) {
            // Guards against a voter that never starts again, or forgets what it acknowledged, since it ended between two operations.
            it(`starts again, forgets nothing and votes once a term if it ${lastEnd}: ${name}`, async () => {
                expect((await findBrokenPromises(script, onLastEnd)).slice(0, 3)).to.deep.equal([]);
            });
        }
    }
});
