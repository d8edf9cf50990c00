/**
 * Password check of `mysql_native_password`.
 * Source: MySQL internals manual, "Native Authentication".
 */
import { createHash, timingSafeEqual } from 'node:crypto';

function sha1(...parts: Buffer[]): Buffer {
  const hash = createHash('sha1');
  for (const part of parts) hash.update(part);
  return hash.digest();
}

/** Whether `token` proves knowledge of `password` for the challenge the server sent. */
export function verifyNativePassword(password: string, challenge: Buffer, token: Buffer): boolean {
  if (password === '') return token.length === 0;
  const stage1 = sha1(Buffer.from(password, 'utf8'));
  const mask = sha1(challenge, sha1(stage1));
  const expected = Buffer.from(stage1.map((byte, index) => byte ^ mask[index]!));
  return token.length === expected.length && timingSafeEqual(token, expected);
}
