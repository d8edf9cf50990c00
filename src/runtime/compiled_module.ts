/**
 * Loads a bundle together with its V8 code cache, which the build writes beside the bundle, to shorten the start of a
 * process. V8 accepts a code cache only from the same engine version with the same flags; otherwise it compiles the
 * source. A missing bundle file is an error, a missing code cache is not.
 */
import { existsSync, readFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { fileURLToPath } from 'node:url';
import { Script } from 'node:vm';

/** Signature of a bundle: one function expression that wraps a CommonJS module. */
type ModuleFunction = (
  exports: object,
  require: NodeJS.Require,
  module: { exports: unknown },
) => void;

interface CompiledModule {
  readonly exports: unknown;
  /** Path of the code cache, whether or not the file exists. */
  readonly codeFile: string;
  /** Whether V8 accepted the code cache. */
  readonly isCodeReused: boolean;
  /** Returns a code cache that covers all functions compiled so far. */
  storeCode(): Buffer;
}

/** Suffix of the code cache's file name. */
const CODE_SUFFIX = '.code';

/** Loads the bundle at `url`, with the code cache beside it if there is one. */
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
