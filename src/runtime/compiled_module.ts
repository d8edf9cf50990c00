/**
 * Loads a bundle together with its compiled code, stored when the bundle was built: compiling takes a third of the
 * start of a process. The engine takes stored code only from the same version of itself under the same flags, and
 * compiles the source otherwise. Owns nothing; relies on the bundle's file, without which a program does not start.
 */
import { existsSync, readFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { fileURLToPath } from 'node:url';
import { Script } from 'node:vm';

/** Signature of a bundle: one function expression around a CommonJS module. */
type ModuleFunction = (
  exports: object,
  require: NodeJS.Require,
  module: { exports: unknown },
) => void;

/** A loaded bundle. */
interface CompiledModule {
  /** What the bundle exports. */
  readonly exports: unknown;
  /** Path of the file that holds the compiled code, or is to hold it. */
  readonly codeFile: string;
  /** Whether the stored code was used. */
  readonly isCodeReused: boolean;
  /** Compiled code of all functions that have run so far, to be stored. */
  storeCode(): Buffer;
}

/** Ending of the file that holds the compiled code of a bundle. */
const CODE_SUFFIX = '.code';

/** Loads the bundle at `url`, and its stored code from the file beside it when there is one. */
export function loadCompiledModule(url: URL): CompiledModule {
  const filename = fileURLToPath(url);
  const codeFile = `${filename}${CODE_SUFFIX}`;
  const cachedData = existsSync(codeFile) ? readFileSync(codeFile) : undefined;
  const script = new Script(readFileSync(filename, 'utf8'), { filename, cachedData });
  const module = { exports: {} };
  const run = script.runInThisContext() as ModuleFunction;
  run(module.exports, createRequire(url), module);
  return {
    exports: module.exports,
    codeFile,
    isCodeReused: cachedData !== undefined && script.cachedDataRejected !== true,
    storeCode: () => script.createCachedData(),
  };
}
