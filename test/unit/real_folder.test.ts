/** The data folder on the local file system after operations that failed. */
import { mkdir, readdir, rmdir, symlink, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import t from 'tap';
import { RealFolder } from '../../src/runtime/real_folder.js';
import { RecordFile } from '../../src/storage/record_file.js';

const NAME = 'records';
/** Writes to this device fail for want of space. */
const FULL_DEVICE = '/dev/full';

// Without this, a proxy stores no configuration any more until its process is restarted.
void t.test('a file is created by a later append when its creation failed', async (t) => {
  const path = t.testdir();
  const folder = await RealFolder.open(path);
  t.teardown(() => folder.close());
  const { file } = await RecordFile.open(folder, NAME);
  await mkdir(join(path, NAME));
  await t.rejects(file.append([Buffer.from('first')]));
  await rmdir(join(path, NAME));
  await file.append([Buffer.from('second')]);
  const { records } = await RecordFile.open(folder, NAME);
  t.same(
    records.map(({ payload }) => payload.toString()),
    ['second'],
  );
});

void t.test('an error at opening a file fails one operation only', async (t) => {
  const path = t.testdir();
  const folder = await RealFolder.open(path);
  t.teardown(() => folder.close());
  await mkdir(join(path, NAME));
  await t.rejects(folder.append(NAME, Buffer.from('first')));
  await rmdir(join(path, NAME));
  await t.resolves(folder.append(NAME, Buffer.from('second')));
  await t.resolves(folder.replace(NAME, Buffer.from('whole')));
});

// Without this, the leftover takes the space that the next write needs.
void t.test('a replacement that failed leaves no temporary file', async (t) => {
  const path = t.testdir();
  const folder = await RealFolder.open(path);
  t.teardown(() => folder.close());
  await mkdir(join(path, NAME));
  await writeFile(join(path, NAME, 'file'), '');
  await t.rejects(folder.replace(NAME, Buffer.from('whole')), 'a folder cannot be replaced');
  t.same(await readdir(path), [NAME]);
});

void t.test('a replacement fails while the disk is full, and the old content stays', async (t) => {
  const path = t.testdir();
  const folder = await RealFolder.open(path);
  t.teardown(() => folder.close());
  await folder.replace(NAME, Buffer.from('old'));
  await symlink(FULL_DEVICE, join(path, `${NAME}.temporary`));
  await t.rejects(folder.replace(NAME, Buffer.from('new')), { code: 'ENOSPC' });
  t.same(await readdir(path), [NAME]);
  t.equal(String(await folder.read(NAME)), 'old');
  await folder.replace(NAME, Buffer.from('new'));
  t.equal(String(await folder.read(NAME)), 'new');
});

void t.test('a start removes the temporary file of a process that was killed', async (t) => {
  const path = t.testdir({ [NAME]: 'old', [`${NAME}.temporary`]: 'incomplete' });
  const folder = await RealFolder.open(path);
  t.teardown(() => folder.close());
  t.same(await readdir(path), [NAME]);
});

// Zeros that fill up a file would stand in place of records that were confirmed.
void t.test('a truncation never makes a file longer', async (t) => {
  const path = t.testdir({ [NAME]: 'short' });
  const folder = await RealFolder.open(path);
  t.teardown(() => folder.close());
  await t.rejects(folder.truncate(NAME, 100));
  t.equal(String(await folder.read(NAME)), 'short');
});
