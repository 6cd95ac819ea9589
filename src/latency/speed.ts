/**
 * The speed factor of a group: how much longer its passes take than predicted for its load. 1 is as predicted, 2 is twice as slow. It
 * distinguishes a group with a slow member from one that is full.
 *
 * @module
 */

/** What has been observed of one incarnation of a head and one epoch of its group. The sums decay. */
export interface GroupSpeed {
    readonly bornMs: number;
    readonly epoch: number;
    readonly observedMs: number;
    readonly predictedMs: number;
    readonly atMs: number;
    /** Whether the group counts as slow, for the log. */
    readonly isSlow: boolean;
}

/** A time that was observed, and the one that was predicted for the same load. */
export interface SpeedSample {
    readonly observedMs: number;
    readonly predictedMs: number;
}

const halfLifeMs = 4_000;
/** Weight of the assumption that a group is as fast as predicted, as a predicted time: some six pauses between events. */
const priorMs = 300;
/** A single sample counts as at most this many times its prediction, because a lost packet says nothing about a group. */
const maxSampleFactor = 4;
/** A group is logged as slow above the first and as recovered below the second. */
const slowFactor = 2;
const recoveredFactor = 1.5;

/** Creates the state of a group that counts as being as fast as predicted. */
export function createGroupSpeed(bornMs: number, epoch: number, nowMs: number): GroupSpeed {
    return { bornMs, epoch, observedMs: 0, predictedMs: 0, atMs: nowMs, isSlow: false };
}

/** Returns the speed factor at `nowMs`. Without observations it returns to 1, so that a group that is avoided is tried again. */
export function speedFactor(speed: GroupSpeed, nowMs: number): number {
    if (speed.predictedMs === 0) {
        return 1;
    }
    const weight = 0.5 ** (Math.max(0, nowMs - speed.atMs) / halfLifeMs);
    return (speed.observedMs * weight + priorMs) / (speed.predictedMs * weight + priorMs);
}

/** Adds a sample. A sample without a positive prediction is ignored. */
export function addSpeedSample(speed: GroupSpeed, { observedMs, predictedMs }: SpeedSample, nowMs: number): GroupSpeed {
    if (!(predictedMs > 0) || !Number.isFinite(observedMs)) {
        return speed;
    }
    const weight = 0.5 ** (Math.max(0, nowMs - speed.atMs) / halfLifeMs);
    const limited = Math.min(Math.max(0, observedMs), predictedMs * maxSampleFactor);
    const next = {
        ...speed, atMs: nowMs,
        observedMs: speed.observedMs * weight + limited, predictedMs: speed.predictedMs * weight + predictedMs,
    };
    return { ...next, isSlow: speedFactor(next, nowMs) > (speed.isSlow ? recoveredFactor : slowFactor) };
}
