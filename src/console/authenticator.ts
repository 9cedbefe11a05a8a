import {
  createHash,
  createHmac,
  randomBytes,
  timingSafeEqual,
} from 'node:crypto';
import type {IncomingMessage} from 'node:http';

const SESSION_COOKIE = 'gypsumcourse-session';
const SESSION_SECONDS = 8 * 3_600;
const NONCE_BYTES = 16;

/** A signed-in operator's session. */
export interface Session {
  /** Random value that sets the session apart. */
  nonce: string;
  /** Token that every form of the session carries against forged requests. */
  formToken: string;
}

/**
 * Checks who operators are. Sessions are signed with a key derived from the
 * operator secret, so that every instance accepts those of every other.
 */
export class Authenticator {
  private readonly key: Buffer;

  constructor(private readonly secret: string) {
    this.key = createHmac('sha256', secret).update('session').digest();
  }

  /** Compares a secret with the operators' own in constant time. */
  verifySecret(candidate: string): boolean {
    return timingSafeEqual(digest(candidate), digest(this.secret));
  }

  /** Whether a message carries the operator secret as a bearer token. */
  hasBearerSecret(message: IncomingMessage): boolean {
    const [scheme, secret] = (message.headers.authorization ?? '').split(' ');
    if (scheme?.toLowerCase() !== 'bearer') return false;
    return secret !== undefined && this.verifySecret(secret);
  }

  /** Returns the cookie of a new session that starts at `now`, in ms. */
  startSession(now: number, secure: boolean): string {
    const nonce = randomBytes(NONCE_BYTES).toString('base64url');
    const expires = Math.floor(now / 1_000) + SESSION_SECONDS;
    const content = `${expires}.${nonce}`;
    const value = `${content}.${this.sign(content)}`;
    return cookie(value, SESSION_SECONDS, secure);
  }

  /** Returns the cookie that ends a session. */
  endSession(secure: boolean): string {
    return cookie('', 0, secure);
  }

  /** Returns the session of a message if it has one that is valid. */
  readSession(message: IncomingMessage, now: number): Session | undefined {
    const [expires = '', nonce = '', mac = ''] =
      sessionCookie(message).split('.');
    if (!equal(mac, this.sign(`${expires}.${nonce}`))) return undefined;
    if (!(Number(expires) * 1_000 > now)) return undefined;
    return {nonce, formToken: this.sign(`form.${nonce}`)};
  }

  /** Whether a form came from a page of the session. */
  verifyFormToken(session: Session, formToken: string): boolean {
    return equal(formToken, session.formToken);
  }

  private sign(content: string): string {
    return createHmac('sha256', this.key).update(content).digest('base64url');
  }
}

function digest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}

function equal(a: string, b: string): boolean {
  return timingSafeEqual(digest(a), digest(b));
}

function cookie(value: string, seconds: number, secure: boolean): string {
  const parts = [
    `${SESSION_COOKIE}=${value}`,
    'Path=/',
    `Max-Age=${seconds}`,
    'HttpOnly',
    'SameSite=Strict',
  ];
  return [...parts, ...(secure ? ['Secure'] : [])].join('; ');
}

function sessionCookie(message: IncomingMessage): string {
  const pairs = (message.headers.cookie ?? '').split(';');
  const prefix = `${SESSION_COOKIE}=`;
  const found = pairs.map(pair => pair.trim()).find(p => p.startsWith(prefix));
  return found?.slice(prefix.length) ?? '';
}
