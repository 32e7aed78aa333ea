/** An IP number and a port. */
export interface PeerAddress {
  host: string;
  port: number;
}

/** Reads `IP:port`; returns undefined when it is not that. */
export function parsePeerAddress(text: string): PeerAddress | undefined {
  const match = /^(\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):(\d{1,5})$/.exec(text);
  if (!match) return undefined;
  return { host: match[1] ?? '', port: Number(match[2]) };
}
