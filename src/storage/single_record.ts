/** Files that consist of one checksummed record and are replaced as a whole. */
import { StorageCorruptionError } from '../errors/errors.js';
import type { DataFolder } from '../runtime/runtime.js';
import { decodeRecords, encodeRecord } from './record_codec.js';

/**
 * Reads the payload of a file; undefined if the file does not exist.
 * @throws StorageCorruptionError when the file contains no valid record, which an interrupted write cannot cause
 */
export async function readSingleRecord(
  folder: DataFolder,
  name: string,
): Promise<Buffer | undefined> {
  const bytes = await folder.read(name);
  if (!bytes) return undefined;
  const [record] = decodeRecords(bytes, name);
  if (!record) throw new StorageCorruptionError(`${name}: contains no valid record`);
  return record.payload;
}

/** Atomically and durably replaces the file; resolves with its size in bytes. */
export async function replaceSingleRecord(
  folder: DataFolder,
  name: string,
  payload: Uint8Array,
): Promise<number> {
  const bytes = encodeRecord(payload);
  await folder.replace(name, bytes);
  return bytes.length;
}
