import type { Suspect } from '@marjorampin/quarantine';
import { type Clock, type Endpoint, incarnationKey, parsePeerAddress } from '@marjorampin/types';
import { probeConnection } from './connectionProbe';

/** Time within which an endpoint has to accept the connection of a probe. */
const PROBE_TIMEOUT_MS = 400;
/** Time for which interrupted calls are attributed to a crash that is noticed later, when the
 * registration of the endpoint lapses. */
const ATTRIBUTION_MS = 5_000;
/** Maximum number of calls that are attributed to one crash, above the batch of any endpoint. */
const MAXIMUM_CALLS = 256;

/** Crash of one incarnation of an endpoint. */
export interface EndpointCrash {
  endpoint: Endpoint;
  /** Calls of this process that the crash interrupted, at most one for each digest. */
  calls: Suspect[];
  /** Whether the crash was reported before, with fewer calls. */
  isKnown: boolean;
}

/** Options of `EndpointCrashes`. */
export interface EndpointCrashesOptions {
  clock: Clock;
  /** Is called at a crash, and again if more calls turn out to be interrupted by it. */
  onCrash(crash: EndpointCrash): void;
}

/** Calls that an endpoint interrupted within a short time. */
class Interruption {
  readonly sinceMs: number;

  private endpoint: Endpoint;

  private readonly calls = new Map<string, Suspect>();

  private isCrash = false;

  /** Whether the endpoint itself interrupted one of the calls. */
  private hasBroken = false;

  private probeInProgress: Promise<void> | undefined;

  private readonly onCrash: EndpointCrashesOptions['onCrash'];

  constructor(endpoint: Endpoint, { clock, onCrash }: EndpointCrashesOptions) {
    this.endpoint = endpoint;
    this.sinceMs = clock.now();
    this.onCrash = onCrash;
  }

  /** Id of the endpoint, which another incarnation may take over. */
  get endpointId(): string {
    return this.endpoint.id;
  }

  /** Adds a call that the endpoint interrupted, or that its caller gave up. */
  add(call: Suspect, isInterrupted: boolean): void {
    this.hasBroken ||= isInterrupted;
    if (this.calls.size < MAXIMUM_CALLS) this.calls.set(call.digest, call);
    if (this.isCrash) this.report(true);
  }

  /** Resolves once it is known whether the endpoint accepts connections. */
  async check(): Promise<void> {
    if (this.isCrash) return;
    this.probeInProgress ??= this.probe();
    await this.probeInProgress;
  }

  /**
   * Compares the endpoint with its registration, which may have lapsed or changed. Some endpoints
   * remove theirs without notice and go on serving, so a lapse alone is no crash.
   */
  compare(registered: Endpoint | undefined): void {
    if (registered?.incarnation === this.endpoint.incarnation) {
      this.endpoint = registered;
    } else if (this.endpoint.state !== 'leaving') {
      if (this.hasBroken) this.confirm();
      else this.check();
    }
  }

  private async probe(): Promise<void> {
    const address = parsePeerAddress(this.endpoint.address);
    const result = address && (await probeConnection(address, PROBE_TIMEOUT_MS));
    this.probeInProgress = undefined;
    if (result === 'refused') this.confirm();
  }

  private confirm(): void {
    if (this.isCrash) return;
    this.isCrash = true;
    this.report(false);
  }

  private report(isKnown: boolean): void {
    this.onCrash({ endpoint: this.endpoint, calls: [...this.calls.values()], isKnown });
  }
}

/**
 * Tells crashes of endpoints from interrupted calls: an endpoint has crashed if it then refuses
 * connections, or if its registration lapses or changes although it was not leaving. An endpoint that
 * resets a connection and goes on has not crashed.
 */
export class EndpointCrashes {
  private readonly options: EndpointCrashesOptions;

  /** By incarnation of an endpoint. */
  private readonly interruptions = new Map<string, Interruption>();

  constructor(options: EndpointCrashesOptions) {
    this.options = options;
  }

  /** Records an interrupted call; resolves once the endpoint was probed. */
  async record(endpoint: Endpoint, call: Suspect): Promise<void> {
    const interruption = this.interruptionOf(endpoint);
    interruption.add(call, true);
    await interruption.check();
  }

  /** Records a call that its caller gave up, and which the endpoint may still be running. */
  recordAbandoned(endpoint: Endpoint, call: Suspect): void {
    this.interruptionOf(endpoint).add(call, false);
  }

  /** Records that an endpoint accepted no connection for a call. */
  recordUnreachable(endpoint: Endpoint): void {
    const known = this.interruptions.get(incarnationKey(endpoint));
    if (known && this.isRecent(known)) known.check();
  }

  /** Compares the endpoints that interrupted calls with their registrations. */
  compareRegistrations(find: (id: string) => Endpoint | undefined): void {
    [...this.interruptions].forEach(([key, interruption]) => {
      if (this.isRecent(interruption)) interruption.compare(find(interruption.endpointId));
      else this.interruptions.delete(key);
    });
  }

  private interruptionOf(endpoint: Endpoint): Interruption {
    const key = incarnationKey(endpoint);
    const known = this.interruptions.get(key);
    if (known && this.isRecent(known)) return known;
    const interruption = new Interruption(endpoint, this.options);
    this.interruptions.set(key, interruption);
    return interruption;
  }

  private isRecent({ sinceMs }: Interruption): boolean {
    return this.options.clock.now() - sinceMs <= ATTRIBUTION_MS;
  }
}
