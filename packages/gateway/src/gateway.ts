import type http from 'node:http';
import type { AddressInfo } from 'node:net';
import {
  AccountLabels,
  AccountRefusal,
  AccountTable,
  type RevocationBounds,
} from '@marjorampin/accounts';
import { type AccountAllowances, CallAllowance } from '@marjorampin/allowances';
import { ByteAccount, type Holding, HOLDING_KINDS } from '@marjorampin/http';
import type { EventLog } from '@marjorampin/logging';
import type { Metrics } from '@marjorampin/metrics';
import type { Quarantine } from '@marjorampin/quarantine';
import type { RoutedConfiguration } from '@marjorampin/routing';
import { RouteTable } from '@marjorampin/routing';
import type { PermitClient, TurnStore } from '@marjorampin/turns';
import {
  CallError,
  type ClientAccount,
  type Clock,
  type Endpoint,
  incarnationKey,
  type PeerAddress,
  toCallError,
} from '@marjorampin/types';
import { AccountAccess } from './accountAccess';
import { afterPoll } from './afterPoll';
import { abortAnswer } from './answerRelay';
import { CallForwarder } from './callForwarder';
import { BodyOverdue, type CallerRequest, readCallerBody, remainingMs } from './callerRequest';
import { CallerConnections } from './callerConnections';
import { CallerServer, type ConnectionSharing } from './callerServer';
import { CallInput } from './callInput';
import { CallTrace } from './callTrace';
import { trackCaller } from './callerSignal';
import type { HeaderCodec } from './headerCodec';
import { EndedConnections, type EndReason, type ServedRequest } from './endedConnections';
import { endUnread } from './endUnread';
import { EndpointAttempts } from './endpointAttempts';
import { EndpointChoice } from './endpointChoice';
import { type EndpointCrash, EndpointCrashes } from './endpointCrashes';
import { EventLoopLoad, type LoopTimes } from './eventLoopLoad';
import {
  invalidTarget,
  deadlinePassed,
  headersTooLarge,
  entryStopping,
  notConfigured,
  entryLagging,
  unknownRoute,
} from './gatewayErrors';
import { heldLimitBytes } from './heldLimit';
import { LoopLag } from './loopLag';
import { RateLimits } from './rateLimits';
import { headerBytes, headerValue } from './rawHeaders';
import { RecentPrograms } from './recentPrograms';
import { Saturation } from './saturation';
import { StopPlan } from './stopPlan';
import { SuspectCalls } from './suspectCalls';
import { TurnForwarder } from './turnForwarder';

/** If the configuration was not confirmed as current for longer than this, a missing route may exist
 * in a newer one. */
const MAXIMUM_STALENESS_MS = 2_000;

/** Utilization above which calls wait unread so long that many callers have left before. */
const BACKLOG_UTILIZATION = 0.9;

/** Connections of callers, unless the host's settings state a limit on descriptors or memory. */
const MAXIMUM_CONNECTIONS = 1_950;

/** Number of interrupted inputs that the log line of a crash lists. */
const LOGGED_INPUTS = 16;

/** Times after a call was read, for the counter of callers that left. Those that leave at once waited
 * before that, unread. */
const LEAVING_TIMES = [
  { label: 'within-100-ms', belowMs: 100 },
  { label: 'within-1-s', belowMs: 1_000 },
  { label: 'later', belowMs: Infinity },
];

/** Options of `Gateway`. */
export interface GatewayOptions {
  /** Address to listen on for callers. */
  address: PeerAddress;
  /** Address to listen on for the platform's readiness probes. */
  readyAddress: PeerAddress;
  /** Failure domain of this entry. */
  domain: string;
  headerCodec: HeaderCodec;
  turns: TurnStore;
  permits: PermitClient;
  allowances: AccountAllowances;
  quarantine: Quarantine;
  clock: Clock;
  log: EventLog;
  metrics: Metrics;
  /** Milliseconds since configuration and endpoints were last confirmed to be current. */
  stalenessMs(): number;
  /** The same, by the monotonic or the wall clock, whichever shows the longer time. */
  configurationAgeMs(): number;
  /** Ages at which requests with a key are refused; absent if they are served with any configuration. */
  revocation?: RevocationBounds | undefined;
  /** Milliseconds that the event loop was active and idle since the process started. */
  loopTimes(): LoopTimes;
  /** Called after each request that was answered without an error. */
  onAnswer?(): void;
  /** How entries share callers' connections; by default, each serves its own. */
  sharing?: ConnectionSharing | undefined;
  /** Whether callers compete for too few endpoints, so that the costs of calls decide at all services. */
  usesCosts?: boolean | undefined;
  /** Limit of the bytes that all calls hold together; a share of the heap by default. */
  heldLimitBytes?: number | undefined;
  /** Most connections of callers, with those relayed from and to other entries. */
  maximumConnections?: number | undefined;
}

/** Forwards callers' requests to endpoints and answers them. */
export class Gateway {
  private readonly options: GatewayOptions;

  private readonly held: ByteAccount;

  private readonly choice: EndpointChoice;

  private readonly crashes: EndpointCrashes;

  private readonly suspects: SuspectCalls;

  private readonly access: AccountAccess;

  private readonly accountLabels = new AccountLabels();

  private readonly calls: CallForwarder;

  private readonly turns: TurnForwarder;

  private readonly server: CallerServer;

  private table: RouteTable | undefined;

  private readonly lag: LoopLag;

  private readonly load: EventLoopLoad;

  private readonly saturation: Saturation;

  private readonly stopPlan = new StopPlan();

  private readonly endedConnections: EndedConnections;

  /** Requests that are not answered yet, by their responses. */
  private readonly openRequests = new Map<http.ServerResponse, ServedRequest>();

  private readonly connections = new CallerConnections();

  private readonly programs = new RecentPrograms();

  private lastAcceptedAtMs = 0;

  constructor(options: GatewayOptions) {
    this.options = options;
    const { clock, domain, headerCodec, log, metrics, turns, permits, quarantine } = options;
    this.held = new ByteAccount({
      limitBytes: options.heldLimitBytes ?? heldLimitBytes(),
      onBreakOff: ({ kind }) => metrics.count('gateway_broken_holdings_total', { kind }),
    });
    this.load = new EventLoopLoad({ sample: () => options.loopTimes() });
    this.saturation = new Saturation({
      onStart: () => log.write('entrySaturated', { active: this.openRequests.size }),
      onEnd: ({ durationMs, calls, abandoned }) =>
        log.write('saturationEnded', { durationMs: Math.round(durationMs), calls, abandoned }),
    });
    this.lag = new LoopLag({ clock, onSample: () => this.measureLoad() });
    const rateLimits = new RateLimits({ permits, clock, log, metrics });
    const { usesCosts } = options;
    this.choice = new EndpointChoice({ clock, domain, rateLimits, usesCosts });
    quarantine.onCrash((key) => this.choice.recordCrash(key));
    const { stalenessMs, revocation } = options;
    this.access = new AccountAccess({
      configurationAgeMs: () => options.configurationAgeMs(),
      uncertainAgeMs: MAXIMUM_STALENESS_MS,
      bounds: revocation,
      log,
    });
    this.suspects = new SuspectCalls({ quarantine, metrics });
    this.crashes = new EndpointCrashes({ clock, onCrash: (crash) => this.recordCrash(crash) });
    const attempts = new EndpointAttempts({
      choice: this.choice,
      crashes: this.crashes,
      suspects: this.suspects,
      rateLimits,
      headerCodec,
      held: this.held,
      clock,
      log,
      metrics,
      stalenessMs,
    });
    this.calls = new CallForwarder({ attempts, headerCodec, held: this.held });
    this.turns = new TurnForwarder({ attempts, headerCodec, held: this.held, turns });
    const { address, readyAddress, sharing, maximumConnections = MAXIMUM_CONNECTIONS } = options;
    const { stopPlan } = this;
    const version = () => this.configurationVersion;
    this.endedConnections = new EndedConnections({ log, metrics, clock, stopPlan, version });
    this.server = new CallerServer({
      address,
      readyAddress,
      log,
      metrics,
      clock,
      maximumConnections,
      sharing,
      serve: (message, response) => this.serve(message, response),
      isReady: () => this.isReady,
      connections: this.connections,
      endedConnections: this.endedConnections,
      version,
      longestTimeoutMs: () => this.table?.longestTimeoutMs ?? 0,
    });
    this.registerGauges();
  }

  /** Starts listening and measuring the lag of the event loop. */
  async start(): Promise<void> {
    await this.server.start();
    this.lag.run();
  }

  /** Applies a configuration; one that is not newer than the current version is ignored. */
  configure(configuration: RoutedConfiguration): void {
    const currentVersion = this.table?.configuration.version ?? -Infinity;
    if (configuration.version <= currentVersion) return;
    this.table = new RouteTable({ configuration });
    this.choice.costs.configure(configuration.services);
    this.server.applyLimits(configuration.limits);
    const { version, routes, accounts } = configuration;
    const accountTable = accounts && new AccountTable({ accounts });
    this.access.configure(accountTable);
    this.options.log.write('configurationChanged', {
      version,
      routes: routes.length,
      accounts: accounts?.length,
      sharedKeys: accountTable?.sharedKeyCount,
    });
  }

  /** Replaces the list of endpoints that calls may be sent to. */
  updateEndpoints(endpoints: Endpoint[]): void {
    this.choice.directory.update(endpoints);
    this.crashes.compareRegistrations((id) => this.choice.registrationOf(id));
  }

  /** Whether this entry should receive new connections, as its readiness probes report. */
  get isReady(): boolean {
    const hasState = this.table !== undefined && this.options.turns.isReady;
    const isCurrent = !this.access.isUnready;
    return hasState && isCurrent && !this.stopPlan.isStopping && !this.lag.isHigh;
  }

  /** Share of the last half second in which the event loop was busy, from 0 to 1. */
  get utilization(): number {
    return this.load.utilization;
  }

  /** Number of connections that callers have opened to this entry. */
  get acceptedConnections(): number {
    return this.server.acceptedConnections;
  }

  /** Version of the configuration in effect; 0 before the first one. */
  get configurationVersion(): number {
    return this.table?.configuration.version ?? 0;
  }

  /** Number of requests that are not answered yet, with the connections relayed to other entries. */
  get activeRequests(): number {
    return this.openRequests.size + this.server.relayedConnections;
  }

  /** Milliseconds since the last request was accepted. */
  get idleMs(): number {
    return this.options.clock.now() - this.lastAcceptedAtMs;
  }

  /** Reports this entry as not ready, closes each open connection after its next answer, and refuses
   * requests that may not end before `endsAtMs`, the clock time at which the process ends. */
  beginStop(endsAtMs: number): void {
    this.stopPlan.begin(this.options.clock.now(), endsAtMs);
    this.server.beginStop();
    this.openRequests.forEach(({ message }) => this.connections.closeAfterLast(message.socket));
  }

  /** Stops listening and closes all connections. */
  async close(): Promise<void> {
    this.lag.stop();
    this.openRequests.forEach((served) => {
      const { message, response } = served;
      if (response.destroyed) return;
      this.endedConnections.recordRequest(served, 'process end');
      if (response.headersSent) abortAnswer(message, response);
    });
    await this.server.close();
  }

  /** Address on which the gateway listens for callers. */
  get callerAddress(): AddressInfo {
    return this.server.address;
  }

  /** Address on which the gateway listens for connections that other entries relay. */
  get relayAddress(): AddressInfo {
    return this.server.relayAddress;
  }

  private registerGauges(): void {
    const { metrics } = this.options;
    metrics.gauge('gateway_active_requests', 'requests under way', () => this.openRequests.size);
    metrics.gauge(
      'gateway_known_prompt_parts',
      'prompt parts that endpoints are known to have cached',
      () => this.choice.costs.knownParts,
    );
    metrics.gauge('gateway_loop_lag_ms', 'smoothed lag of the event loop', () => this.lag.ms);
    metrics.gauge(
      'gateway_loop_utilization',
      'share of time in which the event loop is busy',
      () => this.load.utilization,
    );
    metrics.gauge('gateway_saturated', '1 while the event loop is saturated', () =>
      this.saturation.isSaturated ? 1 : 0,
    );
    metrics.gauge(
      'gateway_configuration_version',
      'version in force',
      () => this.configurationVersion,
    );
    metrics.gauge(
      'gateway_relayed_connections',
      'connections relayed to other entries',
      () => this.server.relayedConnections,
    );
    HOLDING_KINDS.forEach((kind) => {
      metrics.gauge(`gateway_held_${kind}_bytes`, `bytes held of ${kind}s`, () =>
        this.held.bytesOf(kind),
      );
    });
    metrics.gauge(
      'gateway_waiting_inputs',
      'inputs whose connections are not read until there is room',
      () => this.held.waitingCount,
    );
    metrics.gauge(
      'gateway_open_connections',
      'open connections of callers, with the relayed ones',
      () => this.server.openConnections,
    );
    metrics.gauge(
      'gateway_held_peak_bytes',
      'most bytes that calls held together',
      () => this.held.peakBytes,
    );
  }

  private async serve(message: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const { clock, metrics, headerCodec } = this.options;
    const requestId = headerCodec.requestIdOf(message.rawHeaders);
    const { socket } = message;
    const order = this.connections.add(socket, response);
    this.saturation.countCall();
    if (this.stopPlan.isStopping || this.server.closesAfter(socket)) {
      this.connections.closeAfterLast(socket);
    }
    const arrivedAtMs = clock.now();
    const trace = new CallTrace();
    const served = { requestId, message, response, trace, arrivedAtMs, order };
    this.openRequests.set(response, served);
    try {
      await this.handle(served);
      this.options.onAnswer?.();
      this.recordOutcome(served, 'answered');
    } catch (error) {
      const failure = toCallError(error);
      if (response.destroyed && !response.headersSent) this.countAbandoned(arrivedAtMs);
      // Makes the caller reconnect, possibly to an entry whose configuration is current.
      if (isUncertain(failure)) this.connections.closeAfterLast(socket);
      this.answerError(served, failure);
      this.recordOutcome(served, failure.kind, failure);
    } finally {
      this.openRequests.delete(response);
      CallerConnections.release(order);
      metrics.observe('gateway_request', {}, clock.now() - arrivedAtMs);
    }
  }

  private async handle(served: ServedRequest): Promise<void> {
    const { message, response, arrivedAtMs, trace, order } = served;
    const { headerCodec, clock } = this.options;
    const { table } = this;
    if (!table) throw notConfigured();
    if (Math.random() < this.lag.shedShare) {
      // Closing the connection makes the caller reconnect, possibly to another entry.
      this.connections.closeAfterLast(message.socket);
      throw entryLagging(this.lag.ms);
    }
    const { limits } = table.configuration;
    if (headerBytes(message.rawHeaders) > limits.headerBytes) throw headersTooLarge(limits);
    const target = message.url ?? '/';
    if (!target.startsWith('/')) throw invalidTarget(target);
    const callHeaders = headerCodec.readCall(message.rawHeaders);
    trace.setProgram(callHeaders.program?.id);
    const host = headerValue(message.rawHeaders, 'host') ?? '';
    const route = table.match(host, target);
    if (!route) throw this.unmatchedTarget(target);
    const admitted = this.access.admit(route, () => headerCodec.readCredential(message.rawHeaders));
    const callTimeoutMs = Math.min(callHeaders.deadlineMs ?? Infinity, route.timeoutMs);
    const deadlineMs = arrivedAtMs + callTimeoutMs;
    this.refuseIfStopping(deadlineMs);
    this.lastAcceptedAtMs = clock.now();
    const caller = trackCaller(response, callTimeoutMs);
    let holding: Holding | undefined;
    let allowance: CallAllowance | undefined;
    try {
      const { signal } = caller;
      allowance = await this.acquireAllowance(admitted.account, deadlineMs);
      const read = await readCallerBody(message, { limits, held: this.held, signal });
      holding = read.holding;
      const { body } = read;
      if (order.earlier) await CallerConnections.waitForEarlier(order, signal);
      // The stop may have begun meanwhile.
      this.refuseIfStopping(deadlineMs);
      const isBehind = this.lag.isBehind || this.load.utilization > BACKLOG_UTILIZATION;
      if (isBehind) await awaitDeparture(message);
      // The configuration may have changed, or grown old, meanwhile.
      const access = admitted.renewed();
      const { account } = access;
      if (account?.name !== admitted.account?.name) {
        // The key has been moved to another account.
        allowance.close();
        allowance = await this.acquireAllowance(account, deadlineMs);
      }
      const request: CallerRequest = {
        message,
        response,
        route,
        account,
        rank: account?.rank ?? route.rank,
        access,
        allowance,
        callHeaders,
        isProgramKnown:
          callHeaders.program !== undefined && this.programs.has(callHeaders.program.id),
        body,
        holding,
        input: new CallInput({ host, method: message.method ?? 'GET', target, body }),
        trace,
        deadlineMs,
        signal,
      };
      if (signal.aborted || deadlineMs <= clock.now()) throw deadlinePassed('not-run');
      await this.forward(request, table);
    } catch (error) {
      const failure = toCallError(error);
      if (!caller.isExpired || failure.kind === 'deadline-exceeded') throw failure;
      throw deadlinePassed(failure.execution);
    } finally {
      allowance?.close();
      holding?.close();
      caller.release();
    }
  }

  /** Acquires the allowance of a call; throws `rate-limited` or `keepers-unavailable` if there is none. */
  private async acquireAllowance(
    account: ClientAccount | undefined,
    deadlineMs: number,
  ): Promise<CallAllowance> {
    if (!account) return CallAllowance.unlimited();
    const { allowances, clock } = this.options;
    const leftMs = remainingMs({ deadlineMs }, clock);
    return allowances.acquire(account, this.configurationVersion, leftMs);
  }

  private async forward(request: CallerRequest, table: RouteTable): Promise<void> {
    const { route, callHeaders } = request;
    const { program } = callHeaders;
    // Before a turn reserves tokens.
    this.suspects.refuseQuarantined(request.input);
    const isMetered = route.storesTurns || program?.tokenBudget !== undefined;
    if (route.kind === 'stream' && program && isMetered) {
      await this.turns.forward(request, program, (name) => table.service(name));
    } else {
      await this.calls.forward(request);
    }
    if (program) this.programs.add(program.id);
  }

  /** Throws `leaving` if a call with this deadline could be cut by the end of the process. */
  private refuseIfStopping(deadlineMs: number): void {
    if (this.stopPlan.hasTimeFor(deadlineMs)) return;
    this.options.metrics.count('gateway_stop_refusals_total');
    throw entryStopping();
  }

  private measureLoad(): void {
    this.load.update();
    this.saturation.update(this.load.utilization, this.options.clock.now());
  }

  private countAbandoned(arrivedAtMs: number): void {
    const { clock, metrics } = this.options;
    const waitedMs = clock.now() - arrivedAtMs;
    const after = LEAVING_TIMES.find(({ belowMs }) => waitedMs < belowMs)?.label ?? 'later';
    metrics.count('gateway_abandoned_total', { after });
    this.saturation.countAbandoned();
  }

  private recordCrash({ endpoint, calls, isKnown }: EndpointCrash): void {
    const { log, metrics, quarantine } = this.options;
    const { id, service } = endpoint;
    quarantine.reportCrash({
      endpoint: incarnationKey(endpoint),
      service,
      suspects: calls,
    });
    if (isKnown) return;
    metrics.count('endpoint_crashes_total', { service });
    log.write('endpointCrashed', {
      endpoint: id,
      service,
      calls: calls.length,
      inputs: calls
        .slice(0, LOGGED_INPUTS)
        .map(({ digest }) => digest)
        .join(' '),
    });
  }

  private unmatchedTarget(target: string): CallError {
    const { stalenessMs, configurationAgeMs } = this.options;
    const ageMs = this.access.isConfigured ? configurationAgeMs() : stalenessMs();
    if (ageMs > MAXIMUM_STALENESS_MS) return notConfigured();
    return unknownRoute(target);
  }

  private answerError(served: ServedRequest, error: CallError): void {
    const { message, response, requestId } = served;
    // The caller's next connection may lead to an entry that is ready.
    if (isRefusal(error) && !this.isReady) this.connections.closeAfterLast(message.socket);
    const reason = abortReasonOf(served, error);
    if (reason) this.endedConnections.recordRequest(served, reason);
    if (isAborted(served, error)) {
      abortAnswer(message, response);
      return;
    }
    const body = Buffer.from(`${error.message}\n`);
    // The unread rest of the body would be parsed as the next request.
    if (!message.complete) response.shouldKeepAlive = false;
    const headers = this.options.headerCodec.writeError(error, requestId);
    response.writeHead(error.status, [
      ...headers,
      'Content-Type',
      'text/plain; charset=utf-8',
      'Content-Length',
      `${body.length}`,
    ]);
    if (message.complete) response.end(body);
    else endUnread(message, response, body);
  }

  private countRefusal({ reason, account }: AccountRefusal): void {
    const labels = { reason, account: this.accountLabels.labelOf(account) };
    this.options.metrics.count('gateway_account_refusals_total', labels);
  }

  private recordOutcome(
    { requestId, response, trace, arrivedAtMs }: ServedRequest,
    outcome: string,
    failure?: CallError,
  ): void {
    const { log, clock, metrics } = this.options;
    metrics.count('gateway_requests_total', { outcome });
    const refusal = failure instanceof AccountRefusal ? failure : undefined;
    if (refusal) this.countRefusal(refusal);
    log.write(failure ? 'requestFailed' : 'requestAnswered', {
      request: requestId,
      ...trace.fields,
      outcome,
      status: response.headersSent ? response.statusCode : undefined,
      ms: Math.round(clock.now() - arrivedAtMs),
      version: this.table?.configuration.version,
      execution: failure?.execution,
      retryAfterMs: failure?.retryAfterMs,
      refusal: refusal?.reason,
      account: refusal?.account,
      reason: failure?.message,
    });
  }
}

/** Whether a request was refused because the configuration is too old to decide about its key. */
function isUncertain(failure: CallError): boolean {
  return failure instanceof AccountRefusal && failure.reason === 'configuration-old';
}

/** Whether a request was refused in a state of this entry that others may not share. */
function isRefusal({ status, execution }: CallError): boolean {
  return status === 503 && execution === 'not-run';
}

/** Whether a failed request ends its connection instead of being answered. */
function isAborted({ response }: ServedRequest, { kind }: CallError): boolean {
  return response.headersSent || kind === 'cancelled';
}

/** Returns why this process ends the connection of a failed request; undefined if it doesn't, or if the
 * caller has ended it. */
function abortReasonOf(served: ServedRequest, error: CallError): EndReason | undefined {
  const { message, response } = served;
  if (message.errored instanceof BodyOverdue) return 'body overdue';
  const { socket } = message;
  if (!isAborted(served, error) || socket.readableEnded || socket.errored) return undefined;
  const { earlier } = served.order;
  if (earlier && !earlier.response.writableFinished) return 'earlier request';
  return response.destroyed ? undefined : 'answer interrupted';
}

/** Throws if the caller has left while its request waited unread: the end of its connection comes after
 * the request. */
async function awaitDeparture({ socket }: http.IncomingMessage): Promise<void> {
  await afterPoll();
  if (!socket.readableEnded && !socket.destroyed) return;
  throw new CallError({ kind: 'cancelled', message: 'the caller left before its call was read' });
}
