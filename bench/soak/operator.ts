/**
 * The operator of a soak: sends each order to one control daemon after the other until it is acknowledged, over links that can be cut.
 *
 * @module
 */

import { setTimeout as pause } from "node:timers/promises";
import { callControlDaemon } from "../../standin/platform/index.js";
import { type Relay, startRelay } from "../../standin/relay.js";
import type { EvacuationOrder } from "./history.js";

export interface Operator {
    readonly evacuations: readonly EvacuationOrder[];
    /** Sends an order, first to the control daemon at `first`. Resolves to whether it was acknowledged. */
    send(path: string, body: string | undefined, first: number): Promise<boolean>;
    /**
     * Evacuates a data centre for a time and brings it back. If it is to be evacuated again, that happens at once, and the first end, sent
     * over a link that is cut, arrives a second time during the second evacuation.
     */
    evacuate(dataCentre: string, forMs: number, isRepeated: boolean, first: number): Promise<void>;
    /** Cuts the link to a control daemon for a time. What was sent over it arrives afterwards. */
    cut(control: number, forMs: number): Promise<void>;
    stop(): void;
}

const maxAttempts = 20;
const retryMs = 200;
/** Longer than the operator waits for an answer. */
const lateCallMs = 2_500;
/** Longer than an evacuation takes to come into force. */
const minRepeatedMs = 8_000;

/** Starts an operator of the control daemons at `addresses`. */
export async function startOperator(addresses: readonly string[]): Promise<Operator> {
    const relays: Relay[] = await Promise.all(addresses.map(startRelay));
    const evacuations: (EvacuationOrder & { acknowledgedAtMs: number | undefined })[] = [];
    /** Cuts in force, by control daemon: they may overlap. */
    const cuts = addresses.map(() => 0);
    let isStopped = false;

    async function send(path: string, body: string | undefined, first: number): Promise<boolean> {
        for (let attempt = 0; attempt < maxAttempts && !isStopped; attempt++) {
            const { address } = relays[(first + attempt) % relays.length]!;
            if ((await callControlDaemon(address, "POST", path, body)).status === 200) {
                return true;
            }
            await pause(retryMs);
        }
        return false;
    }

    async function order(dataCentre: string, verb: EvacuationOrder["verb"], first: number) {
        const record = { dataCentre, verb, sentAtMs: performance.now(), acknowledgedAtMs: undefined as number | undefined };
        evacuations.push(record);
        if (await send(`/api/evacuations/${dataCentre}/${verb}`, undefined, first)) {
            record.acknowledgedAtMs = performance.now();
        }
    }

    async function cut(control: number, forMs: number) {
        cuts[control]!++;
        relays[control]!.setHolding(true);
        await pause(forMs);
        relays[control]!.setHolding(--cuts[control]! > 0);
    }

    return {
        evacuations,
        send,
        async evacuate(dataCentre, forMs, isRepeated, first) {
            await order(dataCentre, "start", first);
            await pause(forMs);
            const healed = isRepeated ? cut(first % relays.length, lateCallMs) : undefined;
            await order(dataCentre, "end", first);
            if (isRepeated) {
                await order(dataCentre, "start", first + 1);
                await pause(Math.max(forMs, minRepeatedMs));
                await order(dataCentre, "end", first + 1);
            }
            await healed;
        },
        cut,
        stop() {
            isStopped = true;
            relays.forEach(relay => relay.stop());
        },
    };
}
