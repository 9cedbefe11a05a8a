import {readFileSync} from 'node:fs';

/** PEM texts with which instances prove to each other who they are. */
export interface TlsFiles {
  cert: string;
  key: string;
  /** The authority that signed the certificates of all instances. */
  ca: string;
}

/** A file for TLS is missing or was not named along with the others. */
export class UnreadableFile extends Error {
  readonly type = 'unreadableFile';

  constructor(
    readonly setting: string,
    readonly reason: string,
  ) {
    super(`${setting}: ${reason}`);
  }
}

/** Settings that name the files; all of them or none. */
export interface TlsSettings {
  peerCert?: string | undefined;
  peerKey?: string | undefined;
  peerCa?: string | undefined;
}

/** Reads the files for TLS between instances, if settings name them. */
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

/** Options of a server that takes only peers with a certificate. */
export function tlsServerOptions({cert, key, ca}: TlsFiles) {
  return {cert, key, ca, requestCert: true, rejectUnauthorized: true};
}

/**
 * Options of a client that takes only peers with a certificate. Addresses
 * change with every replacement, so the authority alone tells who is a peer.
 */
export function tlsClientOptions({cert, key, ca}: TlsFiles) {
  return {cert, key, ca, checkServerIdentity: () => undefined};
}

function readPem(setting: string, file: string | undefined): string {
  if (file === undefined) {
    throw new UnreadableFile(setting, 'needed along with the other two');
  }
  try {
    return readFileSync(file, 'utf8');
  } catch (cause) {
    throw new UnreadableFile(setting, String(cause));
  }
}
