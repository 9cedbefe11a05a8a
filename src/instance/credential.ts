import {createHmac, timingSafeEqual} from 'node:crypto';

/** Header with the authentication code of a message between peers. */
export const MAC_HEADER = 'gypsumcourse-code';

/** Length of an authentication code: 128 bits of HMAC-SHA-256. */
const CODE_BYTES = 16;
/** Length of an authentication code as text. */
export const MAC_LENGTH = 22;

/**
 * Authenticates messages between peers with a shared secret. During rotation
 * it accepts every secret it holds and signs with the first.
 */
export class Credential {
  constructor(private readonly secrets: readonly string[]) {}

  /** Returns the authentication code of a message. */
  sign(message: string | Buffer): string {
    return code(this.secrets[0] ?? '', message).toString('base64url');
  }

  /** Tells whether any of the secrets gave `signature` for the message. */
  verify(message: string | Buffer, signature: string): boolean {
    return this.findMatch(message, signature) !== undefined;
  }

  /**
   * Returns the credential of the one secret that gave `signature` for the
   * message, to answer with: its sender may not have the newest secret yet.
   */
  findMatch(
    message: string | Buffer,
    signature: string,
  ): Credential | undefined {
    const given = Buffer.from(signature, 'base64url');
    const secrets = this.secrets.length > 0 ? this.secrets : [''];
    const secret = secrets.find(candidate => {
      const expected = code(candidate, message);
      return (
        given.length === expected.length && timingSafeEqual(given, expected)
      );
    });
    return secret === undefined ? undefined : new Credential([secret]);
  }
}

function code(secret: string, message: string | Buffer): Buffer {
  const whole = createHmac('sha256', secret).update(message).digest();
  return whole.subarray(0, CODE_BYTES);
}
