/**
 * Composes the roles of one daemon: a container of factories, started in the order that their listeners need.
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
import { createRelay, createReportFilter, createSession, routeSession, type Relay, type Session } from "./session/index.js";
import { createSidecar, type Sidecar } from "./sidecar/index.js";
import { createExceptionLog, createLogger, createMetrics, createTracing, type Logger, type Metrics, type Tracing } from "./telemetry/index.js";

/** A running daemon. */
export interface Daemon {
    readonly rpcAddress: string;
    readonly callersAddress: string | undefined;
    readonly operatorsAddress: string | undefined;
    /** Rereads the certificate files for new connections. If they are invalid, logs an error and keeps the current certificates. */
    reloadCertificates(): void;
    /** Stops gracefully: reports not ready, accepts no new work, finishes running work and then closes the listeners. */
    stop(): Promise<void>;
}

interface Cradle {
    settings: Settings;
    bootId: string;
    clock: Clock;
    logger: Logger;
    metrics: Metrics;
    tracing: Tracing;
    certificates: CertificateStore | undefined;
    connections: PeerConnections;
    /** Registered for the control role only. */
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

/** Registers the factories of all components. A factory runs only if a role of this daemon uses its component. */
function createDaemonContainer(settings: Settings, rpcAddress: () => string) {
    const isEntry = settings.daemon.roles.includes("entry");
    const isSidecar = settings.daemon.roles.includes("sidecar");
    /** Proposes through this daemon's control role, or through the control daemon that the session is connected to. */
    const propose: Propose = async (command, timeoutMs) => {
        if (settings.daemon.roles.includes("control")) {
            return container.cradle.control.propose(command, timeoutMs);
        }
        const { address } = container.cradle.session;
        return address === undefined
            ? { outcome: "not-leader", leaderAddress: undefined }
            : forwardCommand(container.cradle.connections, address, command, timeoutMs);
    };
    const shouldSendReport = createReportFilter();
    const container = createContainer<Cradle>({ injectionMode: InjectionMode.PROXY, strict: true });
    container.register({
        settings: asValue(settings),
        bootId: asValue(newId()),
        clock: asFunction(() => createLeaseClock()).singleton(),
        logger: asFunction(() => createLogger(settings.telemetry.logLevel, settings.daemon.id)).singleton(),
        metrics: asFunction(() => createMetrics(settings.telemetry.statsd, settings.daemon.id)).singleton(),
        tracing: asFunction(() => createTracing({ ...settings.telemetry, daemonId: settings.daemon.id })).singleton(),
        certificates: asFunction(() => settings.tls === undefined ? undefined : createCertificateStore(settings.tls)).singleton(),
        connections: asFunction(({ certificates }: Cradle) => createPeerConnections(() => certificates?.current)).singleton(),
        control: asFunction(({ log, clock, connections, logger }: Cradle) => createControl({
            settings,
            log,
            clock,
            connections,
            onChange: (change, details) => logger.info(`control ${change}`, details),
        })).singleton(),
        sidecar: asFunction(({ bootId, clock, logger, certificates, tracing, metrics }: Cradle) => createSidecar({
            settings,
            tracing,
            metrics,
            certificates: () => certificates?.current,
            vm: settings.vm!,
            bootId,
            address: rpcAddress(),
            clock,
            session: () => container.cradle.session,
            onChange: (change, details) => logger.info(`sidecar ${change}`, details),
        })).singleton(),
        relay: asFunction(({ clock }: Cradle) => createRelay({
            session: () => container.cradle.session,
            nowMs: () => clock.nowMs(),
            onCrash: crash => container.cradle.session.reportCrash(crash),
        })).singleton(),
        session: asFunction(({ bootId, clock, logger, certificates }: Cradle) => createSession({
            settings,
            certificates: () => certificates?.current,
            bootId,
            clock,
            wantsDirectory: isEntry,
            isRelay: isEntry,
            reports: isFull => [
                ...isSidecar ? [container.cradle.sidecar.report()].filter(report => shouldSendReport(report, isFull)) : [],
                ...isEntry ? container.cradle.relay.reports(isFull) : [],
            ],
            ...(isEntry
                ? {
                        takeSilentVmIds: () => container.cradle.relay.takeSilentVmIds(),
                        reportedVersion: ownVersion => container.cradle.relay.oldestHeldVersion(ownVersion),
                    }
                : {}),
            onMessage(down) {
                down.orders.filter(order => order.vmId === settings.vm?.id).forEach(order => container.cradle.sidecar.order(order));
                if (isEntry) {
                    container.cradle.relay.forward(down);
                }
            },
            onStateChange: (state, address) => logger.info(`session ${state}`, { address }),
        })).singleton(),
        admission: asFunction(({ clock }: Cradle) => createEntryAdmission({
            entryId: settings.daemon.id,
            dataCentre: settings.daemon.dataCentre,
            view: () => container.cradle.session.view,
            maxQueued: settings.callers!.maxQueued,
            nowMs: () => clock.nowMs(),
            random: Math.random,
            // The request observer counts refusals, together with their class.
            countRefusal: () => undefined,
        })).singleton(),
        runner: asFunction(({ connections, admission, clock, tracing, metrics, logger }: Cradle) => createRunner({
            tracing,
            metrics,
            exceptions: createExceptionLog({ logger, count: () => metrics.count("process.exceptions"), nowMs: () => performance.now() }),
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

type Container = ReturnType<typeof createDaemonContainer>;

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

/** Callers and operators authenticate with a key or token, so their listeners request no client certificate. */
function serverTls(certificates: CertificateStore | undefined) {
    return certificates === undefined ? {} : { tls: { cert: certificates.current.cert, key: certificates.current.key } };
}

async function startOperatorsServer(container: Container, settings: Settings): Promise<OperatorsServer | undefined> {
    if (!settings.daemon.roles.includes("control") || settings.operators === undefined) {
        return undefined;
    }
    const { region, id } = settings.daemon;
    const { control, certificates } = container.cradle;
    const replicatedLog = container.cradle.log;
    return createOperatorsServer({
        control, voters: replicatedLog, ...settings.operators, region, daemonId: id, ...serverTls(certificates),
    });
}

async function startEntryHttp(container: Container, settings: Settings, isReady: () => boolean): Promise<EntryHttp | undefined> {
    if (!settings.daemon.roles.includes("entry") || settings.callers === undefined) {
        return undefined;
    }
    const { session, runner, certificates } = container.cradle;
    return createEntryHttp({
        ...settings.callers,
        ...serverTls(certificates),
        session: () => session,
        runner,
        ready: () => isReady() && session.leaseRemainingMs() > 0,
    });
}

/** Routes the sessions of relays to the control role. An entry serves the sessions of sidecars itself, whether or not it is the leader. */
function registerControlService(router: ConnectRouter, container: Container, settings: Settings) {
    const isControl = settings.daemon.roles.includes("control");
    const isEntry = settings.daemon.roles.includes("entry");
    if (!isControl && !isEntry) {
        return;
    }
    router.service(ControlService, {
        session: messages => routeSession(messages, hello =>
            isControl && (hello.relays || !isEntry) ? container.cradle.control : container.cradle.relay),
        ...(isControl ? { propose: request => container.cradle.control.handleForwardedCommand(request) } : {}),
    });
}

function sleep(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}

/** Starts every role that the settings name. Throws when a listener cannot be bound. */
export async function createDaemon(settings: Settings): Promise<Daemon> {
    const { roles } = settings.daemon;
    let isStopping = false;
    const container = createDaemonContainer(settings, () => settings.rpc.advertise ?? settings.rpc.listen);
    const { logger, metrics, tracing, certificates } = container.cradle;
    if (roles.includes("control")) {
        await openLog(container, settings);
    }
    const rpc = await createRpcServer(settings.rpc.listen, router => {
        if (roles.includes("control")) {
            container.cradle.log.routes(router);
        }
        registerControlService(router, container, settings);
        if (roles.includes("sidecar")) {
            container.cradle.sidecar.routes(router);
        }
    }, certificates?.current);
    const { session } = container.cradle;
    const operatorsServer = await startOperatorsServer(container, settings);
    const entryHttp = await startEntryHttp(container, settings, () => !isStopping);
    logger.info("daemon started", { roles, rpc: rpc.address });

    const stopGauges = startGauges({
        metrics,
        control: roles.includes("control") ? container.cradle.control : undefined,
        countRunningRequests: entryHttp === undefined ? undefined : () => container.cradle.runner.running,
    });

    function reloadCertificates() {
        if (certificates === undefined) {
            return;
        }
        try {
            const certificateSet = certificates.reload();
            rpc.reloadCertificates(certificateSet);
            operatorsServer?.reloadCertificate(certificateSet);
            entryHttp?.reloadCertificate(certificateSet);
            logger.info("certificates reloaded");
        }
        catch (error) {
            logger.error("certificates not reloaded", { error });
        }
    }

    async function stop() {
        isStopping = true;
        logger.info("daemon stopping");
        entryHttp?.drain();
        if (roles.includes("sidecar")) {
            await container.cradle.sidecar.drain();
        }
        await sleep(entryHttp === undefined ? 0 : settings.daemon.balancerWaitMs);
        await entryHttp?.stop();
        if (entryHttp !== undefined) {
            await container.cradle.runner.waitUntilIdle();
        }
        await operatorsServer?.stop();
        session.stop();
        if (roles.includes("control")) {
            container.cradle.control.stop();
            await container.cradle.log.stop();
        }
        if (roles.includes("sidecar")) {
            container.cradle.sidecar.stop();
        }
        await Promise.race([rpc.stop(), sleep(1_000)]);
        stopGauges();
        // A telemetry collector that does not respond must not delay the stop.
        await Promise.race([Promise.all([metrics.close(), tracing.close()]), sleep(telemetryFlushMs)]);
        logger.info("daemon stopped");
    }

    return {
        rpcAddress: rpc.address,
        callersAddress: entryHttp?.address,
        operatorsAddress: operatorsServer?.address,
        reloadCertificates,
        stop,
    };
}
