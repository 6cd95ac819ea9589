/**
 * Authenticates callers by their hashed API keys and resolves the service class of a request.
 *
 * @module
 */

import { createHash } from "node:crypto";
import type { Configuration, Organisation, Service, ServiceClass } from "../cluster/index.js";
import { badRequest } from "./problem.js";

/** Longer times of a class count as this one, twelve days: half of what timers bear. With a longer delay, they fire at once. */
const maxTimeMs = 2 ** 30;

/** Returns the organisation that owns the bearer key; throws a 401 problem if there is none. */
export function authenticate(configuration: Configuration, authorization: string | undefined): Organisation {
    if (authorization === undefined || !authorization.startsWith("Bearer ")) {
        throw badRequest("no-key", "A key is needed: Authorization: Bearer KEY", undefined, 401);
    }
    const hash = createHash("sha256").update(authorization.slice("Bearer ".length)).digest("hex");
    const organisation = configuration.organisations.find(item => item.keyHashes.includes(hash));
    if (organisation === undefined) {
        throw badRequest("unknown-key", "The key belongs to no organisation", undefined, 401);
    }
    return organisation;
}

/** Returns the named class, or the first class of a matching service if no name is given; throws a 400 problem if there is none. */
export function resolveClass(
    configuration: Configuration,
    name: string | undefined,
    serves: (service: Service) => boolean,
): { serviceClass: ServiceClass; service: Service } {
    const serviceClass = name === undefined
        ? configuration.classes.find(item => configuration.services.some(service => service.name === item.service && serves(service)))
        : configuration.classes.find(item => item.name === name);
    const service = configuration.services.find(item => item.name === serviceClass?.service);
    if (serviceClass === undefined || service === undefined || !serves(service)) {
        const classNames = configuration.classes.map(item => item.name).join(", ");
        throw badRequest("unknown-class", `No class "${name ?? ""}" serves this path`, `Service-Class: one of ${classNames}`);
    }
    const latenessMs = Math.min(serviceClass.latenessMs, maxTimeMs);
    const deadlineMs = Math.min(serviceClass.deadlineMs, maxTimeMs);
    return { serviceClass: { ...serviceClass, latenessMs, deadlineMs }, service };
}
