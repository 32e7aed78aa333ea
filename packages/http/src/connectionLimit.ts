/** Open connections that are examined for one that can be closed, so that an accepted connection costs the
 * same for any number of open ones. */
const EXAMINED_CONNECTIONS = 16;

/** How a connection is used: `unused` has sent nothing, or not yet the whole headers of its first request. */
export type ConnectionUse = 'unused' | 'idle' | 'busy';

/** What is done at the limit: an older connection without a request is closed, or the new one is refused. */
export type LimitAction = 'closed' | 'refused';

/** A socket or a session. */
export interface Connection {
  destroy(): unknown;
  once(event: 'close', listener: () => void): unknown;
}

/** Options of `ConnectionLimit`. */
export interface ConnectionLimitOptions<Open extends Connection> {
  maximum: number;
  useOf(connection: Open): ConnectionUse;
  onLimit?: (action: LimitAction) => void;
}

/**
 * Limits the open connections of a server. Clients that open connections without sending requests must not keep
 * others out, so the oldest of these are closed first; connections with a request in progress are kept.
 */
export class ConnectionLimit<Open extends Connection> {
  private readonly options: ConnectionLimitOptions<Open>;

  /** Oldest first; those found busy count as new again. */
  private readonly open = new Set<Open>();

  constructor(options: ConnectionLimitOptions<Open>) {
    this.options = options;
  }

  /** Number of open connections. */
  get count(): number {
    return this.open.size;
  }

  /** Adds a connection; returns false if it has to be refused. */
  add(connection: Open): boolean {
    const { maximum, onLimit } = this.options;
    if (this.open.size >= maximum) {
      const surplus = this.findClosable();
      onLimit?.(surplus ? 'closed' : 'refused');
      if (!surplus) return false;
      this.open.delete(surplus);
      surplus.destroy();
    }
    this.open.add(connection);
    connection.once('close', () => this.open.delete(connection));
    return true;
  }

  private findClosable(): Open | undefined {
    let idle: Open | undefined;
    let examined = 0;
    for (const connection of this.open) {
      examined += 1;
      const use = this.options.useOf(connection);
      if (use === 'unused') return connection;
      if (use === 'idle') idle ??= connection;
      if (use === 'busy') {
        this.open.delete(connection);
        this.open.add(connection);
      }
      if (examined === EXAMINED_CONNECTIONS) break;
    }
    return idle;
  }
}
