import http2 from 'node:http2';
import { CallError } from '@marjorampin/types';
import { STREAM_SETTINGS, widenWindow } from './flowControl';

/** Time to connect; later attempts of the system to connect would be too far apart. */
const CONNECT_TIMEOUT_MS = 600;

/** Options of `PeerSession`. */
export interface PeerSessionOptions {
  /** URL of the peer without a path. */
  authority: string;
  tls?: http2.SecureClientSessionOptions | undefined;
}

/** One HTTP/2 session for one stream. A session error fails the stream and is never uncaught, even
 * when it is emitted more than once. */
export class PeerSession {
  private readonly authority: string;

  private readonly tls: http2.SecureClientSessionOptions | undefined;

  private session: http2.ClientHttp2Session | undefined;

  private isAborted = false;

  constructor({ authority, tls }: PeerSessionOptions) {
    this.authority = authority;
    this.tls = tls;
  }

  /** Connects and sends a request; rejects with `connection-lost` if the session ends earlier. */
  async request(
    method: string,
    path: string,
    headers: http2.OutgoingHttpHeaders,
  ): Promise<http2.ClientHttp2Stream> {
    if (this.isAborted) throw this.connectionError('the stream was closed');
    const session = await this.connect();
    return session.request({ ...headers, ':method': method, ':path': path });
  }

  /** Closes the connection immediately. */
  abort(): void {
    this.isAborted = true;
    this.session?.destroy();
  }

  private connect(): Promise<http2.ClientHttp2Session> {
    return new Promise((resolve, reject) => {
      const session = http2.connect(this.authority, { ...this.tls, settings: STREAM_SETTINGS });
      this.session = session;
      const timer = setTimeout(() => {
        session.destroy(new Error(`no connection within ${CONNECT_TIMEOUT_MS} ms`));
      }, CONNECT_TIMEOUT_MS);
      session.on('error', (error) => reject(this.connectionError(error.message)));
      session.once('close', () => {
        clearTimeout(timer);
        reject(this.connectionError('the connection closed'));
      });
      session.once('connect', () => {
        clearTimeout(timer);
        widenWindow(session);
        resolve(session);
      });
    });
  }

  private connectionError(reason: string): CallError {
    const message = `no connection to ${this.authority}: ${reason}; check the peer, then retry`;
    return new CallError({ kind: 'connection-lost', message });
  }
}
