/** What a request states about its client account; a key is known by its SHA-256 digest only. */
export type Credential =
  { kind: 'absent' } | { kind: 'malformed'; reason: string } | { kind: 'key'; digest: string };
