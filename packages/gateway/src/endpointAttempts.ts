import type { EventLog } from '@marjorampin/logging';
import type { Metrics } from '@marjorampin/metrics';
import { CallError, type Clock, type Endpoint, toCallError } from '@marjorampin/types';
import { type CallerRequest, remainingMs } from './callerRequest';
import type { Dialect } from './dialect';
import type { EndpointChoice } from './endpointChoice';
import { type EndpointAnswer, exchangeWithEndpoint } from './endpointExchange';

/** Time after which a caller may come back when no endpoint could take its call. */
const RETRY_AFTER_MS = 300;
/** Connections that were not taken say nothing about the call, but the search has to end. */
const MAXIMUM_CONNECTION_FAILURES = 4;

/** Statuses that promise callers that their call did not run and never will. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

/** What the attempts of a call need. */
export interface EndpointAttemptsOptions {
  choice: EndpointChoice;
  dialect: Dialect;
  clock: Clock;
  log: EventLog;
  metrics: Metrics;
  /** Milliseconds since the endpoints that are known were certainly the newest ones. */
  knowledgeAgeMs(): number;
}

/** What is sent, and to whom rather. */
export interface OutgoingCall {
  service: string;
  body: Buffer;
  warmEndpoint: string;
  contextTokens: number;
}

/** Takes in an answer; what it throws counts as a failure of the endpoint. */
export type AnswerHandler<T> = (answer: EndpointAnswer, endpoint: Endpoint) => Promise<T>;

/** Sends calls to endpoints, again where the call's kind allows it. */
export class EndpointAttempts {
  private readonly options: EndpointAttemptsOptions;

  constructor(options: EndpointAttemptsOptions) {
    this.options = options;
  }

  /** Resolves with what `take` made of the first usable answer. */
  async run<T>(request: CallerRequest, terms: OutgoingCall, take: AnswerHandler<T>): Promise<T> {
    const { route } = request;
    // An unknown outcome ends the program of a call that may not be repeated by anyone.
    const mayReuseConnection = route.kind !== 'non-idempotent';
    const tried = new Set<string>();
    let sends = 0;
    let connectionFailures = 0;
    while (true) {
      const endpoint = this.options.choice.choose({ ...terms, tried, mayReuseConnection });
      if (!endpoint) throw noEndpoint(terms.service, tried.size);
      tried.add(endpoint.id);
      this.trace(request, endpoint);
      try {
        return await this.send(request, { ...terms, mayReuseConnection }, endpoint, take);
      } catch (error) {
        const failure = toCallError(error);
        const wasSent = failure.kind !== 'endpoint-failed' || failure.execution !== 'not-run';
        if (wasSent) sends += 1;
        else connectionFailures += 1;
        const mayRepeat = failure.execution === 'not-run' || route.kind === 'idempotent';
        const isExhausted =
          request.signal.aborted ||
          sends >= route.maximumAttempts ||
          connectionFailures >= MAXIMUM_CONNECTION_FAILURES;
        if (!mayRepeat || isExhausted || request.response.headersSent) throw failure;
        this.options.metrics.count('endpoint_retries_total', { service: terms.service });
      }
    }
  }

  private trace({ trace }: CallerRequest, { id }: Endpoint): void {
    const { choice, clock, knowledgeAgeMs } = this.options;
    const reportedAtMs = choice.directory.get(id)?.reportedAtMs;
    trace.recordChoice({
      endpoint: id,
      loadAgeMs: reportedAtMs && Math.round(clock.now() - reportedAtMs),
      listAgeMs: Math.round(knowledgeAgeMs()),
    });
  }

  private async send<T>(
    request: CallerRequest,
    { body, service, mayReuseConnection }: OutgoingCall & { mayReuseConnection: boolean },
    endpoint: Endpoint,
    take: AnswerHandler<T>,
  ): Promise<T> {
    const { choice, dialect, clock, log } = this.options;
    const { message, route, terms, signal } = request;
    const leftMs = remainingMs(request, clock);
    const headers = dialect.writeCall(message.rawHeaders, {
      endpoint,
      remainingMs: leftMs,
      urgency: route.kind === 'stream' ? route.rank : undefined,
      bodyBytes: body.length > 0 || message.method !== 'GET' ? body.length : undefined,
    });
    const { directory } = choice;
    directory.started(endpoint.id);
    try {
      const answer = await exchangeWithEndpoint(
        {
          endpoint,
          method: message.method ?? 'GET',
          target: message.url ?? '/',
          headers,
          body,
          requestId: terms.requestId,
          signal,
          mayReuseConnection,
        },
        dialect,
      );
      choice.recordAnswer(endpoint, answer.terms, answer.status);
      checkAnswer(answer, endpoint);
      return await take(answer, endpoint);
    } catch (error) {
      const failure = toCallError(error);
      if (failure.kind === 'endpoint-failed') choice.recordFailure(endpoint);
      if (!signal.aborted) {
        log.write('sendFailed', {
          request: terms.requestId,
          endpoint: endpoint.id,
          service,
          kind: failure.kind,
          execution: failure.execution,
          leftMs: Math.round(leftMs),
          reason: failure.message,
        });
      }
      throw failure;
    } finally {
      directory.finished(endpoint.id);
    }
  }
}

/** Throws unless the answer is one that callers may get. */
function checkAnswer({ status, terms, message }: EndpointAnswer, endpoint: Endpoint): void {
  if (terms.isNotRun) {
    message.destroy();
    throw new CallError({
      kind: 'overloaded',
      message: `endpoint ${endpoint.id} refused the call with ${status}; retry later`,
      retryAfterMs: RETRY_AFTER_MS,
    });
  }
  // These would promise the caller that nothing ran, which the endpoint has not said.
  const impliesNotRun = NOT_RUN_STATUSES.has(status);
  if (!impliesNotRun && (terms.isGenuine || status < 200 || status >= 300)) return;
  message.destroy();
  throw new CallError({
    kind: 'endpoint-failed',
    message: `endpoint ${endpoint.id} answered ${status} without proof of origin; check it`,
    execution: 'unknown',
  });
}

function noEndpoint(service: string, tried: number): CallError {
  return new CallError({
    kind: tried > 0 ? 'overloaded' : 'no-endpoint',
    message: `no endpoint of ${service} can take the call after ${tried} tried; retry after ${RETRY_AFTER_MS} ms`,
    retryAfterMs: RETRY_AFTER_MS,
  });
}
