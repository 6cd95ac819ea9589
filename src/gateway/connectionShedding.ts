/**
 * Decides which new connections an entry closes before it reads from them. For the load that a load balancer puts on one entry when it
 * hands it most new connections of a data centre: its processor is saturated, and requests wait unread or are read too late to be served,
 * while callers who are turned away at once reach another entry with their retry.
 *
 * @module
 */

/** Of a processor that is busy for a larger part of the time, requests wait longer than their answers take to forward. */
const saturatedShare = 0.95;
/** Number of samples that must be saturated on average. One alone may be the decoding of a large site. */
const samplesToJudge = 4;
/** The busy part of the time at which the accepted connections are held. */
const targetShare = 0.9;
/** Bounds on the factor by which the accepted connections change from one sample to the next. */
const decrease = 0.6;
const [minIncrease, maxIncrease] = [1.02, 4];
/** An entry that is ready must not turn all callers away. */
const minAccepted = 1;

/** What is known of the load. */
export interface SheddingState {
    /** The newest samples of the part of the time that the processor was busy. */
    readonly busyShares: readonly number[];
    /** The number of connections to accept in the present sample. */
    readonly maxAccepted: number;
}

export const noShedding: SheddingState = { busyShares: [], maxAccepted: Infinity };

/** Applies a sample: the part of the time that the processor was busy, and the connections that were offered and accepted. */
export function applySample(
    { busyShares, maxAccepted }: SheddingState, { busyShare, offered, accepted }: { busyShare: number; offered: number; accepted: number },
): SheddingState {
    const newest = [...busyShares, busyShare].slice(-samplesToJudge);
    const isSaturated = newest.reduce((sum, share) => sum + share, 0) / samplesToJudge > saturatedShare;
    if (isSaturated) {
        return { busyShares: newest, maxAccepted: Math.max(minAccepted, Math.min(maxAccepted, accepted) * decrease) };
    }
    const increase = Math.min(maxIncrease, Math.max(minIncrease, targetShare / busyShare));
    // All were accepted in this sample and would be in the next.
    const isUnused = offered === accepted && offered < maxAccepted / minIncrease;
    return { busyShares: newest, maxAccepted: isUnused ? Infinity : maxAccepted * increase };
}

export interface ConnectionShedding {
    /** Must be called at equal intervals of about a quarter of a second. */
    sample(): void;
    /** Whether a new connection is accepted; if not, it must be closed. */
    accepts(): boolean;
    readonly isShedding: boolean;
}

export interface ConnectionSheddingOptions {
    /** Returns the part of the time since the previous call that the processor was busy. */
    busyShare(): number;
    onChanged(isShedding: boolean, busyShare: number): void;
}

/** Creates the decision for one listener. */
export function createConnectionShedding({ busyShare, onChanged }: ConnectionSheddingOptions): ConnectionShedding {
    let state = noShedding;
    let offered = 0;
    let accepted = 0;
    const isShedding = () => state.maxAccepted < Infinity;
    return {
        sample() {
            const wasShedding = isShedding();
            const busy = busyShare();
            state = applySample(state, { busyShare: busy, offered, accepted });
            [offered, accepted] = [0, 0];
            if (wasShedding !== isShedding()) {
                onChanged(isShedding(), busy);
            }
        },
        accepts() {
            offered++;
            const isAccepted = accepted < state.maxAccepted;
            accepted += isAccepted ? 1 : 0;
            return isAccepted;
        },
        get isShedding() {
            return isShedding();
        },
    };
}
