import type http from 'node:http';
import type { EventLog } from '@marjorampin/logging';
import type { Metrics } from '@marjorampin/metrics';
import type { Clock } from '@marjorampin/types';
import type { CallTrace } from './callTrace';
import type { StopPlan } from './stopPlan';

/** How far a request had come when its connection was ended. */
export type RequestProgress = 'unread' | 'reading' | 'read' | 'passed on' | 'half answered';

/** Why a connection was ended before its request was answered whole. */
export type EndReason =
  | 'answer interrupted'
  | 'body overdue'
  | 'one request on a relayed connection'
  | 'process end'
  | 'relay target lost'
  | 'relay timeout';

/** A request with the data for its log entry. */
export interface ServedRequest {
  requestId: string | undefined;
  message: http.IncomingMessage;
  response: http.ServerResponse;
  trace: CallTrace;
  arrivedAtMs: number;
  /** Whether an earlier request came on the same connection. */
  isKept: boolean;
}

/** What is logged of a connection that is ended. */
export interface EndedConnection {
  reason: EndReason;
  progress: RequestProgress;
  request?: string | undefined;
  isKept?: boolean;
  ms?: number;
}

/** Options of `EndedConnections`. */
export interface EndedConnectionsOptions {
  log: EventLog;
  metrics: Metrics;
  clock: Clock;
  stopPlan: StopPlan;
  /** Returns the version of the configuration in effect. */
  version(): number;
}

/** Logs connections of callers that this process ends with a request that is not answered whole. */
export class EndedConnections {
  private readonly options: EndedConnectionsOptions;

  constructor(options: EndedConnectionsOptions) {
    this.options = options;
  }

  /** Logs the end of a connection. */
  record({ reason, progress, request, isKept, ms }: EndedConnection): void {
    const { log, metrics, clock, stopPlan, version } = this.options;
    metrics.count('gateway_ended_connections_total', { reason, progress });
    const stopMs = stopPlan.elapsedMs(clock.now());
    log.write('connectionEnded', {
      reason,
      request,
      state: progress,
      kept: isKept,
      ms: ms && Math.round(ms),
      stopMs: stopMs && Math.round(stopMs),
      version: version(),
    });
  }

  /** Logs the end of the connection of a request that this process handles. */
  recordRequest(served: ServedRequest, reason: EndReason): void {
    const { requestId: request, isKept, arrivedAtMs } = served;
    const ms = this.options.clock.now() - arrivedAtMs;
    this.record({ reason, progress: progressOf(served), request, isKept, ms });
  }
}

/** Returns how far the handling of a request has come. */
export function progressOf({
  message,
  response,
  trace,
}: Pick<ServedRequest, 'message' | 'response' | 'trace'>): RequestProgress {
  if (response.headersSent) return 'half answered';
  if (trace.sendCount > 0) return 'passed on';
  return message.complete ? 'read' : 'reading';
}
