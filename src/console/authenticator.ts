import {
  createHash,
  createHmac,
  randomBytes,
  timingSafeEqual,
} from 'node:crypto';
import type {IncomingMessage} from 'node:http';

const SESSION_COOKIE = 'gypsumcourse-session';
const SESSION_LIFETIME_SECONDS = 8 * 3_600;
const NONCE_BYTES = 16;

/** A signed-in operator's session. */
export interface Session {
  /** Random value that is unique to the session. */
  nonce: string;
  /** Token in every form of the session, against cross-site forgery. */
  formToken: string;
}

/**
 * Authenticates operators. Session cookies are signed with a key derived from
 * the operator secret, so any instance accepts a session that another started.
 */
export class Authenticator {
  private readonly signingKey: Buffer;

  constructor(private readonly secret: string) {
    this.signingKey = createHmac('sha256', secret).update('session').digest();
  }

  /** Compares `candidate` with the operator secret in constant time. */
  verifySecret(candidate: string): boolean {
    return timingSafeEqual(sha256(candidate), sha256(this.secret));
  }

  /** Whether a request carries the operator secret as a bearer token. */
  hasBearerSecret(message: IncomingMessage): boolean {
    const [scheme, secret] = (message.headers.authorization ?? '').split(' ');
    if (scheme?.toLowerCase() !== 'bearer') return false;
    return secret !== undefined && this.verifySecret(secret);
  }

  /**
   * Returns the `Set-Cookie` value for a session that starts at `now`, in
   * wall-clock ms. `secure` adds the `Secure` attribute.
   */
  startSession(now: number, secure: boolean): string {
    const nonce = randomBytes(NONCE_BYTES).toString('base64url');
    const expires = Math.floor(now / 1_000) + SESSION_LIFETIME_SECONDS;
    const content = `${expires}.${nonce}`;
    const value = `${content}.${this.sign(content)}`;
    return formatCookie(value, SESSION_LIFETIME_SECONDS, secure);
  }

  /** Returns the `Set-Cookie` value that deletes the session cookie. */
  endSession(secure: boolean): string {
    return formatCookie('', 0, secure);
  }

  /**
   * Returns the session in a request's cookie, or undefined if its signature
   * is wrong or it has expired at `now`, in wall-clock ms.
   */
  readSession(message: IncomingMessage, now: number): Session | undefined {
    const [expires = '', nonce = '', mac = ''] =
      readSessionCookie(message).split('.');
    if (!secretsEqual(mac, this.sign(`${expires}.${nonce}`))) return undefined;
    if (!(Number(expires) * 1_000 > now)) return undefined;
    return {nonce, formToken: this.sign(`form.${nonce}`)};
  }

  /** Whether `formToken` is the token of the session. */
  verifyFormToken(session: Session, formToken: string): boolean {
    return secretsEqual(formToken, session.formToken);
  }

  private sign(content: string): string {
    return createHmac('sha256', this.signingKey)
      .update(content)
      .digest('base64url');
  }
}

function sha256(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}

/** Compares two texts in constant time, to leak nothing through timing. */
function secretsEqual(a: string, b: string): boolean {
  return timingSafeEqual(sha256(a), sha256(b));
}

function formatCookie(value: string, seconds: number, secure: boolean): string {
  const attributes = [
    `${SESSION_COOKIE}=${value}`,
    'Path=/',
    `Max-Age=${seconds}`,
    'HttpOnly',
    'SameSite=Strict',
  ];
  return [...attributes, ...(secure ? ['Secure'] : [])].join('; ');
}

function readSessionCookie(message: IncomingMessage): string {
  const pairs = (message.headers.cookie ?? '').split(';');
  const prefix = `${SESSION_COOKIE}=`;
  const found = pairs.map(pair => pair.trim()).find(p => p.startsWith(prefix));
  return found?.slice(prefix.length) ?? '';
}
