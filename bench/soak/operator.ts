/**
 * The operator of a soak: sends each order to one control daemon after the other until it is acknowledged, over links that can be cut.
 *
 * @module
 */

import { callControlDaemon } from "../../standin/platform/index.js";
import { type Relay, startRelay } from "../../standin/relay.js";
import type { EvacuationOrder } from "./history.js";

export interface Operator {
    readonly evacuations: readonly EvacuationOrder[];
    /** Sends an order, first to the control daemon at `first`. Resolves to whether it was acknowledged. */
    send(path: string, body: string | undefined, first: number): Promise<boolean>;
    /** Evacuates a data centre for a time and brings it back; `rounds` times in turn. */
    evacuate(dataCentre: string, forMs: number, rounds: number, first: number): Promise<void>;
    /** Cuts the link to a control daemon for a time. What was sent over it arrives afterwards. */
    cut(control: number, forMs: number): Promise<void>;
    stop(): void;
}

const maxAttempts = 20;
const retryMs = 200;

function pause(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}

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

    return {
        evacuations,
        send,
        async evacuate(dataCentre, forMs, rounds, first) {
            for (let round = 0; round < rounds; round++) {
                await order(dataCentre, "start", first + round);
                await pause(forMs);
                await order(dataCentre, "end", first + round);
            }
        },
        async cut(control, forMs) {
            cuts[control]!++;
            relays[control]!.setHolding(true);
            await pause(forMs);
            relays[control]!.setHolding(--cuts[control]! > 0);
        },
        stop() {
            isStopped = true;
            relays.forEach(relay => relay.stop());
        },
    };
}
