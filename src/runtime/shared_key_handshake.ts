/**
 * Mutual authentication with a shared key at the start of an internal connection (challenge and response with
 * HMAC-SHA-256, RFC 2104). The data that follows is neither encrypted nor authenticated. If the peer sends a wrong proof
 * or does not answer in time, the promise is rejected.
 */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';
import type { Socket } from 'node:net';
import { WhinyokeError } from '../errors/errors.js';
import { type FrameReader, frame } from './frame.js';

/** Key that all processes of a deployment share. */
export type SharedKey = Buffer;

/** Size of a random challenge; large enough that no value repeats. */
const NONCE_BYTES = 16;
/** Time limit for each handshake message of the peer. */
const HANDSHAKE_TIMEOUT_MS = 2000;
const CLIENT_ROLE = 'client';
const SERVER_ROLE = 'server';

function proof(key: SharedKey, role: string, nonces: Buffer): Buffer {
  return createHmac('sha256', key).update(role).update(nonces).digest();
}

function checkProof(received: Buffer, expected: Buffer): void {
  const matches = received.length === expected.length && timingSafeEqual(received, expected);
  if (!matches) throw new WhinyokeError('peer does not know the shared key');
}

function nextFrame(socket: Socket, reader: FrameReader): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const timeout = setTimeout(
      () => finish(new Error('handshake timed out')),
      HANDSHAKE_TIMEOUT_MS,
    );
    const onData = (chunk: Buffer): void => {
      try {
        const payload = reader.push(chunk)[0];
        if (payload) finish(undefined, payload);
      } catch (error) {
        finish(error as Error);
      }
    };
    const onClose = (): void => finish(new Error('connection closed during handshake'));
    const finish = (error: Error | undefined, payload?: Buffer): void => {
      clearTimeout(timeout);
      socket.off('data', onData);
      socket.off('close', onClose);
      if (error) reject(error);
      else resolve(payload!);
    };
    socket.on('data', onData);
    socket.on('close', onClose);
  });
}

/** Runs the client's side; resolves after the server has proved that it knows the key. */
export async function introduceSelf(
  socket: Socket,
  reader: FrameReader,
  key: SharedKey,
): Promise<void> {
  const serverNonce = await nextFrame(socket, reader);
  const clientNonce = randomBytes(NONCE_BYTES);
  const nonces = Buffer.concat([serverNonce, clientNonce]);
  socket.write(frame(Buffer.concat([clientNonce, proof(key, CLIENT_ROLE, nonces)])));
  checkProof(await nextFrame(socket, reader), proof(key, SERVER_ROLE, nonces));
}

/** Runs the server's side; resolves after the client has proved that it knows the key and the server's proof is written. */
export async function acceptPeer(
  socket: Socket,
  reader: FrameReader,
  key: SharedKey,
): Promise<void> {
  const serverNonce = randomBytes(NONCE_BYTES);
  socket.write(frame(serverNonce));
  const answer = await nextFrame(socket, reader);
  const nonces = Buffer.concat([serverNonce, answer.subarray(0, NONCE_BYTES)]);
  checkProof(answer.subarray(NONCE_BYTES), proof(key, CLIENT_ROLE, nonces));
  socket.write(frame(proof(key, SERVER_ROLE, nonces)));
}
