import {readFileSync} from 'node:fs';

/** Contents of the PEM files for mutual TLS between instances. */
export interface TlsFiles {
  cert: string;
  key: string;
  /** Certificate of the authority that signs the instances' certificates. */
  ca: string;
}

/** A file for TLS can't be read, or only some of the files are set. */
export class UnreadableFile extends Error {
  readonly type = 'unreadableFile';

  constructor(
    readonly setting: string,
    readonly reason: string,
  ) {
    super(`${setting}: ${reason}`);
  }
}

/** Paths of the PEM files for TLS; all of them or none. */
export interface TlsSettings {
  peerCert?: string | undefined;
  peerKey?: string | undefined;
  peerCa?: string | undefined;
}

/**
 * Reads the files for TLS between instances; undefined if none is set. Throws
 * [[UnreadableFile]].
 */
export function readTlsFiles(settings: TlsSettings): TlsFiles | undefined {
  const {peerCert, peerKey, peerCa} = settings;
  if (peerCert === undefined && peerKey === undefined && peerCa === undefined) {
    return undefined;
  }
  return {
    cert: readPem('peer-cert', peerCert),
    key: readPem('peer-key', peerKey),
    ca: readPem('peer-ca', peerCa),
  };
}

/** Options of a TLS server that requires a client certificate. */
export function tlsServerOptions({cert, key, ca}: TlsFiles) {
  return {cert, key, ca, requestCert: true, rejectUnauthorized: true};
}

/**
 * Options of a TLS client that presents its certificate and checks that of the
 * server. Host names are not checked, as addresses change when instances are
 * replaced: any certificate signed by the authority belongs to a peer.
 */
export function tlsClientOptions({cert, key, ca}: TlsFiles) {
  return {cert, key, ca, checkServerIdentity: () => undefined};
}

function readPem(setting: string, file: string | undefined): string {
  if (file === undefined) {
    throw new UnreadableFile(
      setting,
      'is required when any of the TLS files is set',
    );
  }
  try {
    return readFileSync(file, 'utf8');
  } catch (cause) {
    throw new UnreadableFile(setting, String(cause));
  }
}
