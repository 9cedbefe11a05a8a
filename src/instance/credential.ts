import {createHmac, timingSafeEqual} from 'node:crypto';

/** Header with the authentication code (MAC) of a message between peers. */
export const MAC_HEADER = 'gypsumcourse-code';

/** Length of an authentication code: HMAC-SHA-256, cut to 128 bits. */
const MAC_BYTES = 16;
/** Length of an authentication code in base64url characters. */
export const MAC_LENGTH = 22;

/**
 * Authenticates messages between peers with a shared secret. While secrets are
 * rotated there are several: it accepts each of them and signs with the first.
 */
export class Credential {
  constructor(private readonly secrets: readonly string[]) {}

  /** Returns the authentication code of a message, in base64url. */
  sign(message: string | Buffer): string {
    return computeMac(this.secrets[0] ?? '', message).toString('base64url');
  }

  /** Whether `mac` is valid for the message under any of the secrets. */
  verify(message: string | Buffer, mac: string): boolean {
    return this.findMatch(message, mac) !== undefined;
  }

  /**
   * Returns a credential with only the secret under which `mac` is valid for
   * the message; undefined if there is none. The response is signed with it, as
   * the sender may not have the newest secret yet.
   */
  findMatch(message: string | Buffer, mac: string): Credential | undefined {
    const actual = Buffer.from(mac, 'base64url');
    const secrets = this.secrets.length > 0 ? this.secrets : [''];
    const secret = secrets.find(candidate => {
      const expected = computeMac(candidate, message);
      return (
        actual.length === expected.length && timingSafeEqual(actual, expected)
      );
    });
    return secret === undefined ? undefined : new Credential([secret]);
  }
}

function computeMac(secret: string, message: string | Buffer): Buffer {
  const fullMac = createHmac('sha256', secret).update(message).digest();
  return fullMac.subarray(0, MAC_BYTES);
}
