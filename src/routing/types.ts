/**
 * The properties of upstreams and requests that routing uses. The types are structural, so that protocol messages need no conversion.
 *
 * @module
 */

/** An upstream as listed in the directory. */
export interface RoutedUpstream {
    readonly upstreamId: string;
    readonly service: string;
    readonly dataCentre: string;
    readonly ready: boolean;
    readonly leaving: boolean;
    readonly capacity: number;
    readonly models: readonly string[];
    /** A new epoch or sidecar boot id makes it a new upstream: earlier measurements no longer apply. */
    readonly epoch: bigint;
    readonly sidecarBootId: string;
}

/** The input to the choice of an upstream for one attempt. */
export interface RouteRequest {
    readonly service: string;
    readonly model?: string | undefined;
    /** Requests with equal keys share a prompt prefix; see `prefixKeyOf`. */
    readonly prefixKey?: string | undefined;
    /** Ids of the upstreams that this request has already tried. */
    readonly exclude: ReadonlySet<string>;
    readonly nowMs: number;
    /** At least 0 and below 1. */
    readonly random: number;
}

export type RouteChoice =
    | { readonly kind: "upstream"; readonly upstreamId: string }
    /** No upstream can take the attempt now, because none serves it (`no-upstream`) or all are busy or in backoff (`busy`). */
    | { readonly kind: "none"; readonly reason: "no-upstream" | "busy"; readonly retryAfterMs: number };
