import { readFileSync } from 'node:fs';

/** Paths of the PEM files for one side of a mutual TLS connection. */
export interface TlsFiles {
  /** Certificate of this side. */
  certificate: string;
  /** Private key of the certificate. */
  key: string;
  /** CA certificates that the other side's certificate is verified against. */
  authority: string;
}

/** Contents of the PEM files, as options of Node's TLS and HTTP/2 modules. */
export interface TlsMaterial {
  cert: Buffer;
  key: Buffer;
  ca: Buffer;
}

/** Reads the files; clients do so for every new stream, which picks up replaced certificates. */
export function readTlsFiles(files: TlsFiles): TlsMaterial {
  return {
    cert: readFileSync(files.certificate),
    key: readFileSync(files.key),
    ca: readFileSync(files.authority),
  };
}
