/** IP address and port; an IPv6 address is in brackets. */
export interface PeerAddress {
  host: string;
  port: number;
}

/** Parses `IP:port`; returns undefined if the text has another form. Checks no value ranges. */
export function parsePeerAddress(text: string): PeerAddress | undefined {
  const match = /^(\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):(\d{1,5})$/.exec(text);
  if (!match) return undefined;
  return { host: match[1] ?? '', port: Number(match[2]) };
}
