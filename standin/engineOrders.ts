/**
 * Orders to the engine stand-in. With `fencing: "check"` it refuses an order whose epoch is older than the newest seen. With `"ignore"`
 * it executes stale orders too, as the engines of some deployments do; tests detect them in the list of obeyed orders.
 *
 * @module
 */

import { z } from "zod";

export const engineOrderSchema = z.object({
    epoch: z.number().int().min(0),
    kind: z.enum(["load-model", "set-role", "form"]),
    model: z.string().optional(),
    replicaId: z.string().optional(),
    members: z.array(z.string()).optional(),
    role: z.string().optional(),
});
export type EngineOrder = z.infer<typeof engineOrderSchema>;

export interface EngineOrdersState {
    readonly epoch: number;
    readonly models: readonly string[];
    readonly loading: string | undefined;
    readonly role: string | undefined;
    readonly replicaId: string | undefined;
    readonly members: readonly string[];
    readonly obeyed: readonly EngineOrder[];
}

export interface EngineOrders {
    /** Executes the order; returns false if it is refused because of a stale epoch. */
    apply(order: EngineOrder): boolean;
    readonly state: EngineOrdersState;
}

/** Creates the order handler; loading a model's weights takes `loadMs`. */
export function createEngineOrders(models: readonly string[], fencing: "check" | "ignore", loadMs: number): EngineOrders {
    let state: EngineOrdersState = {
        epoch: 0, models, loading: undefined, role: undefined, replicaId: undefined, members: [], obeyed: [],
    };

    function load(model: string) {
        state = { ...state, loading: model };
        setTimeout(() => {
            if (state.loading === model) {
                state = { ...state, loading: undefined, models: [...new Set([...state.models, model])] };
            }
        }, loadMs);
    }

    return {
        apply(order) {
            if (fencing === "check" && order.epoch < state.epoch) {
                return false;
            }
            state = { ...state, epoch: Math.max(state.epoch, order.epoch), obeyed: [...state.obeyed, order] };
            if (order.kind === "load-model" && order.model !== undefined && !state.models.includes(order.model)) {
                load(order.model);
            }
            if (order.kind === "set-role") {
                state = { ...state, role: order.role };
            }
            if (order.kind === "form") {
                state = { ...state, replicaId: order.replicaId, members: order.members ?? [] };
            }
            return true;
        },
        get state() {
            return state;
        },
    };
}
