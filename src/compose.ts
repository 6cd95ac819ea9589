/**
 * Joins the roles of one daemon: a container of factories, started in the order that their listeners need.
 *
 * @module
 */

import { asFunction, asValue, createContainer, InjectionMode } from "awilix";
import type { ConnectRouter } from "@connectrpc/connect";
import { randomUUID } from "node:crypto";
import { type CertificateStore, createCertificateStore, type Settings } from "./config/index.js";
import { type ConsensusNode, createReplicatedLog } from "./consensus/index.js";
import { type Control, createControl, createOperatorsServer, forwardCommand, type OperatorsServer } from "./control/index.js";
import {
    createEntryAdmission, createEntryHttp, createRunner, type EntryAdmission, type EntryHttp, type Propose, type Runner,
} from "./entry/index.js";
import { startGauges } from "./gauges.js";
import { ControlService, createPeerConnections, createRpcServer, type PeerConnections } from "./rpc/index.js";
import { type Clock, createLeaseClock } from "./runtime/index.js";
import { createRelay, createReportFilter, createSession, forkSession, type Relay, type Session } from "./session/index.js";
import { createSidecar, type Sidecar } from "./sidecar/index.js";
import { createLogger, createMetrics, createTracing, type Logger, type Metrics, type Tracing } from "./telemetry/index.js";

/** A running daemon. */
export interface Daemon {
    readonly rpcAddress: string;
    readonly callersAddress: string | undefined;
    readonly operatorsAddress: string | undefined;
    /** Takes the certificate files as they are now for new connections; unusable ones are logged and left. */
    reload(): void;
    /** Stops gracefully: not ready, no new work, running work to its end, then the listeners. */
    stop(): Promise<void>;
}

interface Parts {
    settings: Settings;
    bootId: string;
    clock: Clock;
    logger: Logger;
    metrics: Metrics;
    tracing: Tracing;
    certificates: CertificateStore | undefined;
    connections: PeerConnections;
    /** Registered for the control role alone. */
    log: ConsensusNode;
    control: Control;
    sidecar: Sidecar;
    session: Session;
    relay: Relay;
    admission: EntryAdmission;
    runner: Runner;
}

const telemetryFlushMs = 2_000;
const newId = () => randomUUID();

/** The factories of every part; only those that a role asks for are ever run. */
function createParts(settings: Settings, rpcAddress: () => string) {
    const isEntry = settings.daemon.roles.includes("entry");
    const isSidecar = settings.daemon.roles.includes("sidecar");
    /** Proposes through the control role here, or through the control daemon that the session stands with. */
    const propose: Propose = async (command, timeoutMs) => {
        if (settings.daemon.roles.includes("control")) {
            return container.cradle.control.propose(command, timeoutMs);
        }
        const { address } = container.cradle.session;
        return address === undefined
            ? { outcome: "not-leader", leaderAddress: undefined }
            : forwardCommand(container.cradle.connections, address, command, timeoutMs);
    };
    const isWorthSending = createReportFilter();
    const container = createContainer<Parts>({ injectionMode: InjectionMode.PROXY, strict: true });
    container.register({
        settings: asValue(settings),
        bootId: asValue(newId()),
        clock: asFunction(() => createLeaseClock()).singleton(),
        logger: asFunction(() => createLogger(settings.telemetry.logLevel, settings.daemon.id)).singleton(),
        metrics: asFunction(() => createMetrics(settings.telemetry.statsd, settings.daemon.id)).singleton(),
        tracing: asFunction(() => createTracing({ ...settings.telemetry, daemonId: settings.daemon.id })).singleton(),
        certificates: asFunction(() => settings.tls === undefined ? undefined : createCertificateStore(settings.tls)).singleton(),
        connections: asFunction(({ certificates }: Parts) => createPeerConnections(() => certificates?.current)).singleton(),
        control: asFunction(({ log, clock, connections, logger }: Parts) => createControl({
            settings,
            log,
            clock,
            connections,
            onChange: (what, details) => logger.info(`control ${what}`, details),
        })).singleton(),
        sidecar: asFunction(({ bootId, clock, logger, certificates, tracing, metrics }: Parts) => createSidecar({
            settings,
            tracing,
            metrics,
            certificates: () => certificates?.current,
            vm: settings.vm!,
            bootId,
            address: rpcAddress(),
            clock,
            session: () => container.cradle.session,
            onChange: (what, details) => logger.info(`sidecar ${what}`, details),
        })).singleton(),
        relay: asFunction(({ clock }: Parts) => createRelay({
            session: () => container.cradle.session,
            nowMs: () => clock.nowMs(),
            onCrash: crash => container.cradle.session.reportCrash(crash),
        })).singleton(),
        session: asFunction(({ bootId, clock, logger, certificates }: Parts) => createSession({
            settings,
            certificates: () => certificates?.current,
            bootId,
            clock,
            wantsDirectory: isEntry,
            relays: isEntry,
            reports: whole => [
                ...isSidecar ? [container.cradle.sidecar.report()].filter(report => isWorthSending(report, whole)) : [],
                ...isEntry ? container.cradle.relay.reports(whole) : [],
            ],
            ...(isEntry
                ? { takeSilent: () => container.cradle.relay.takeSilent(), heldVersion: own => container.cradle.relay.heldVersion(own) }
                : {}),
            onDown(down) {
                down.orders.filter(order => order.vmId === settings.vm?.id).forEach(order => container.cradle.sidecar.order(order));
                if (isEntry) {
                    container.cradle.relay.down(down);
                }
            },
            onState: (state, address) => logger.info(`session ${state}`, { address }),
        })).singleton(),
        admission: asFunction(({ clock }: Parts) => createEntryAdmission({
            entryId: settings.daemon.id,
            dataCentre: settings.daemon.dataCentre,
            view: () => container.cradle.session.view,
            maxQueued: settings.callers!.maxQueued,
            nowMs: () => clock.nowMs(),
            random: Math.random,
            // The observer of the request counts its refusal with the class.
            count: () => undefined,
        })).singleton(),
        runner: asFunction(({ connections, admission, clock, tracing, metrics }: Parts) => createRunner({
            tracing,
            metrics,
            session: () => container.cradle.session,
            connections,
            admission,
            propose,
            nowMs: () => clock.nowMs(),
            newId,
        })).singleton(),
    });
    return container;
}

type Container = ReturnType<typeof createParts>;

/** Opens this voter's log. Throws when its folder belongs to another voter or holds a damaged record. */
async function openLog(container: Container, settings: Settings) {
    const { clock, logger, certificates } = container.cradle;
    const tls = certificates?.current;
    const log = await createReplicatedLog({
        voterId: settings.daemon.id,
        peers: settings.control.voters,
        dataFolder: settings.daemon.dataFolder!,
        clock,
        logger: line => logger.info(line),
        tls: tls === undefined ? undefined : { authority: tls.ca, certificate: tls.cert, key: tls.key },
    });
    container.register({ log: asValue(log) });
}

/** Callers and operators prove themselves by key or token, so their listeners ask for no certificate. */
function serverTls(certificates: CertificateStore | undefined) {
    return certificates === undefined ? {} : { tls: { cert: certificates.current.cert, key: certificates.current.key } };
}

async function startOperators(container: Container, settings: Settings): Promise<OperatorsServer | undefined> {
    if (!settings.daemon.roles.includes("control") || settings.operators === undefined) {
        return undefined;
    }
    const { region, id } = settings.daemon;
    const { control, certificates } = container.cradle;
    const voters = container.cradle.log;
    return createOperatorsServer({ control, voters, ...settings.operators, region, daemonId: id, ...serverTls(certificates) });
}

async function startCallers(container: Container, settings: Settings, ready: () => boolean): Promise<EntryHttp | undefined> {
    if (!settings.daemon.roles.includes("entry") || settings.callers === undefined) {
        return undefined;
    }
    const { session, runner, certificates } = container.cradle;
    return createEntryHttp({
        ...settings.callers,
        ...serverTls(certificates),
        session: () => session,
        runner,
        ready: () => ready() && session.leaseRemainingMs() > 0,
    });
}

/** Sessions of relays go to the control role; an entry serves those of sidecars itself, whether or not it leads. */
function routeControl(router: ConnectRouter, container: Container, settings: Settings) {
    const isControl = settings.daemon.roles.includes("control");
    const isEntry = settings.daemon.roles.includes("entry");
    if (!isControl && !isEntry) {
        return;
    }
    router.service(ControlService, {
        session: messages => forkSession(messages, hello =>
            isControl && (hello.relays || !isEntry) ? container.cradle.control : container.cradle.relay),
        ...(isControl ? { propose: request => container.cradle.control.answer(request) } : {}),
    });
}

function pause(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}

/** Starts every role that the settings name. Throws when a listener cannot be bound. */
export async function createDaemon(settings: Settings): Promise<Daemon> {
    const { roles } = settings.daemon;
    let stopping = false;
    const container = createParts(settings, () => settings.rpc.advertise ?? settings.rpc.listen);
    const { logger, metrics, tracing, certificates } = container.cradle;
    if (roles.includes("control")) {
        await openLog(container, settings);
    }
    const rpc = await createRpcServer(settings.rpc.listen, router => {
        if (roles.includes("control")) {
            container.cradle.log.routes(router);
        }
        routeControl(router, container, settings);
        if (roles.includes("sidecar")) {
            container.cradle.sidecar.routes(router);
        }
    }, certificates?.current);
    const { session } = container.cradle;
    const operators = await startOperators(container, settings);
    const callers = await startCallers(container, settings, () => !stopping);
    logger.info("daemon started", { roles, rpc: rpc.address });

    const stopGauges = startGauges({
        metrics,
        control: roles.includes("control") ? container.cradle.control : undefined,
        entryRunning: callers === undefined ? undefined : () => container.cradle.runner.running,
    });

    function reload() {
        if (certificates === undefined) {
            return;
        }
        try {
            const fresh = certificates.reload();
            rpc.reload(fresh);
            operators?.reload(fresh);
            callers?.reload(fresh);
            logger.info("certificates reloaded");
        }
        catch (error) {
            logger.error("certificates not reloaded", { error });
        }
    }

    async function stop() {
        stopping = true;
        logger.info("daemon stopping");
        callers?.drain();
        if (roles.includes("sidecar")) {
            await container.cradle.sidecar.drain();
        }
        await pause(callers === undefined ? 0 : settings.daemon.balancerWaitMs);
        await callers?.stop();
        if (callers !== undefined) {
            await container.cradle.runner.idle();
        }
        await operators?.stop();
        session.stop();
        if (roles.includes("control")) {
            container.cradle.control.stop();
            await container.cradle.log.stop();
        }
        if (roles.includes("sidecar")) {
            container.cradle.sidecar.stop();
        }
        await Promise.race([rpc.stop(), pause(1_000)]);
        stopGauges();
        // A collector that doesn't answer must not hold the stop up.
        await Promise.race([Promise.all([metrics.close(), tracing.close()]), pause(telemetryFlushMs)]);
        logger.info("daemon stopped");
    }

    return { rpcAddress: rpc.address, callersAddress: callers?.address, operatorsAddress: operators?.address, reload, stop };
}
