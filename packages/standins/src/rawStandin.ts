import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';

/** A request as an endpoint received it. */
export interface ReceivedRequest {
  head: string;
  body: string;
}

/** Writes the response to a request as raw bytes, which may be invalid. */
export type RawResponder = (socket: Socket, request: ReceivedRequest) => void;

/** Size of the writes of `writeWithoutEnd`. */
const REPEATED_BYTES = 64 * 1024;

/** Stand-in for an HTTP server that responds with arbitrary bytes, including invalid responses. */
export class RawStandin {
  readonly requests: ReceivedRequest[] = [];

  /** Number of closed connections. */
  closedConnections = 0;

  private readonly server: Server;

  private readonly sockets = new Set<Socket>();

  constructor(respond: RawResponder) {
    this.server = createServer((socket) => {
      let text = '';
      this.sockets.add(socket);
      socket.on('error', () => socket.destroy());
      socket.on('close', () => {
        this.closedConnections += 1;
        this.sockets.delete(socket);
      });
      socket.on('data', (bytes) => {
        text += bytes.toString('latin1');
        const request = readRequest(text);
        if (!request) return;
        text = '';
        this.requests.push(request);
        respond(socket, request);
      });
    });
  }

  /** Starts listening and returns the address as `IP:port`. */
  async listen(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }
}

function readRequest(text: string): ReceivedRequest | undefined {
  const end = text.indexOf('\r\n\r\n');
  if (end < 0) return undefined;
  const head = text.slice(0, end);
  const body = text.slice(end + 4);
  const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
  return body.length < length ? undefined : { head, body };
}

/** Writes `text` again and again until the connection closes. */
export function writeWithoutEnd(socket: Socket, text: string): void {
  const bytes = Buffer.from(text.repeat(Math.ceil(REPEATED_BYTES / text.length)));
  const write = () => {
    if (socket.destroyed) return;
    if (socket.write(bytes)) setImmediate(write);
    else socket.once('drain', write);
  };
  write();
}
