import { readFileSync } from 'node:fs';

/** Paths of PEM files for one side of a TLS connection. */
export interface TlsFiles {
  certificate: string;
  key: string;
  /** Certificates that the other side's certificate must be signed by. */
  authority: string;
}

/** Contents of the files, as Node's TLS modules take them. */
export interface TlsMaterial {
  cert: Buffer;
  key: Buffer;
  ca: Buffer;
}

/** Reads the files anew, so that a replaced certificate counts from the next connection on. */
export function readTlsFiles(files: TlsFiles): TlsMaterial {
  return {
    cert: readFileSync(files.certificate),
    key: readFileSync(files.key),
    ca: readFileSync(files.authority),
  };
}
