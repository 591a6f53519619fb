/** Reads files that contain one secret. */

import { readFileSync } from 'node:fs'
import { Either, Left, Right } from 'purify-ts'
import type { SettingsFault } from './faults.js'

/** Minimum length of the cluster secret in characters; 32 hexadecimal digits are 128 bits. */
const SECRET_MIN_CHARACTERS = 32

/**
 * @param file - file with one secret; surrounding white space is removed
 * @param minCharacters - minimum length of the secret
 * @returns the secret, or a fault that does not contain the secret
 */
export function loadSecretFile (file: string, minCharacters: number = SECRET_MIN_CHARACTERS): Either<readonly SettingsFault[], string> {
  const expected = `a file with a secret of at least ${minCharacters} characters`
  return Either.encase(() => readFileSync(file, 'utf8').trim())
    .mapLeft((error): readonly SettingsFault[] =>
      [{ file, keyPath: '', found: `no readable file (${'code' in error ? String(error.code) : error.message})`, expected }])
    .chain((secret): Either<readonly SettingsFault[], string> => secret.length >= minCharacters
      ? Right(secret)
      : Left([{ file, keyPath: '', found: `text of ${secret.length} characters`, expected }]))
}
