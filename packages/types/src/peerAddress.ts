import { isIP } from 'node:net';

/** IP address and port. */
export interface PeerAddress {
  /** IPv4 or IPv6 address; without brackets, as sockets take it. */
  host: string;
  port: number;
}

const MAXIMUM_PORT = 65_535;

/** Parses `IP:port`; an IPv6 address is in brackets. Returns undefined if the text has another form
 * or a value that no connection can have. */
export function parsePeerAddress(text: string): PeerAddress | undefined {
  const address = parseListeningAddress(text);
  return address?.port === 0 ? undefined : address;
}

/** Parses `IP:port` of an address to listen on; the system chooses the port if it is 0. */
export function parseListeningAddress(text: string): PeerAddress | undefined {
  const match = /^(?:([\d.]+)|\[([0-9a-fA-F:.]+)\]):(\d{1,5})$/.exec(text);
  if (!match) return undefined;
  const [, ipv4 = '', ipv6 = '', portText] = match;
  const port = Number(portText);
  if (isIP(ipv4) !== 4 && isIP(ipv6) !== 6) return undefined;
  return port <= MAXIMUM_PORT ? { host: ipv4 || ipv6, port } : undefined;
}

/** Returns an address as `parsePeerAddress` parses it. */
export function formatPeerAddress({ host, port }: PeerAddress): string {
  return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;
}
