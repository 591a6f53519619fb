/** TLS keys and certificates from files, which are reloaded when the files change. */

import { X509Certificate, createPrivateKey } from 'node:crypto'
import { readFileSync, statSync } from 'node:fs'
import { createSecureContext } from 'node:tls'
import type { SecureContextOptions } from 'node:tls'
import { buildConnector } from 'undici'
import type { DiallerTlsFiles } from '../../settings/process.js'

/** Interval of the check for changed files in ms. */
const FILE_CHECK_INTERVAL_MS = 10_000

/** Options for a listener or for outbound connections. */
export type TlsOptions = SecureContextOptions & {
  /** Listeners only: whether clients must present a certificate. */
  readonly requestCert: boolean
  readonly rejectUnauthorized: true
}

/** A server whose certificate can be replaced while it runs. */
export interface RenewableServer {
  setSecureContext (options: SecureContextOptions): void
}

/** What a source is created with. */
export interface TlsSourceOptions {
  readonly files: DiallerTlsFiles
  /** Called when changed files were loaded and are in use. */
  readonly onReload?: () => void
  /** Called when changed files cannot be used; the old ones stay in use. */
  readonly onError?: (reason: string) => void
  readonly checkIntervalMs?: number
}

/** TLS files of one listener or of one kind of outbound connection. */
export class TlsSource {
  readonly #options: TlsSourceOptions
  readonly #servers = new Set<RenewableServer>()
  #current: TlsOptions
  /** Version of the files that were last read, whether or not they could be used. */
  #version: string
  #timer: NodeJS.Timeout | undefined

  private constructor (options: TlsSourceOptions) {
    this.#options = options
    this.#version = readFilesVersion(options.files)
    this.#current = loadTlsOptions(options.files)
  }

  /**
   * Reads the files and starts checking them for changes.
   *
   * @param options - files and callbacks
   * @returns the source
   * @throws Error when a file is unreadable or the key does not belong to the certificate
   */
  static create (options: TlsSourceOptions): TlsSource {
    const source = new TlsSource(options)
    source.#timer = setInterval(() => { source.checkFiles() }, options.checkIntervalMs ?? FILE_CHECK_INTERVAL_MS)
    source.#timer.unref()
    return source
  }

  /** @returns the options in use; outbound connections get them anew for each connection */
  getOptions (): TlsOptions {
    return this.#current
  }

  /**
   * Keeps the certificate of a listener up to date. Open connections are not
   * affected.
   *
   * @param server - created with `getOptions`
   */
  addServer (server: RenewableServer): void {
    this.#servers.add(server)
  }

  /**
   * Reloads the files if they changed. A certificate whose key was not replaced
   * yet is reported as an error; the files are read again when one of them changes.
   */
  checkFiles (): void {
    try {
      const version = readFilesVersion(this.#options.files)
      if (version === this.#version) return
      this.#version = version
      this.#current = loadTlsOptions(this.#options.files)
      for (const server of this.#servers) server.setSecureContext(this.#current)
    } catch (error) {
      this.#options.onError?.(error instanceof Error ? error.message : String(error))
      return
    }
    this.#options.onReload?.()
  }

  /** Stops checking for changed files. */
  stop (): void {
    clearInterval(this.#timer)
  }
}

/** Opens the connections of an HTTP client. */
export type Connector = buildConnector.connector

/**
 * @param source - TLS files of the connections
 * @param timeoutMs - timeout for opening a connection in ms
 * @returns connector that opens each connection with the files in use at that time
 */
export function buildTlsConnector (source: TlsSource, timeoutMs: number): Connector {
  let optionsInUse = source.getOptions()
  let connect = buildConnector({ ...optionsInUse, timeout: timeoutMs })
  return (options, callback) => {
    const currentOptions = source.getOptions()
    if (currentOptions !== optionsInUse) {
      optionsInUse = currentOptions
      connect = buildConnector({ ...optionsInUse, timeout: timeoutMs })
    }
    connect(options, callback)
  }
}

/**
 * @param files - paths of the files
 * @returns TLS options with the content of the files
 * @throws Error when a file is unreadable or the key does not belong to the certificate
 */
export function loadTlsOptions (files: DiallerTlsFiles): TlsOptions {
  const cert = files.certFile === undefined ? undefined : readFileSync(files.certFile)
  const key = files.keyFile === undefined ? undefined : readFileSync(files.keyFile)
  const ca = files.caFile === undefined ? undefined : readFileSync(files.caFile)
  if (cert !== undefined && key !== undefined && !new X509Certificate(cert).checkPrivateKey(createPrivateKey(key))) {
    throw new Error(`${files.keyFile ?? ''} is not the key of ${files.certFile ?? ''}`)
  }
  const options: TlsOptions = {
    minVersion: 'TLSv1.2',
    requestCert: ca !== undefined,
    rejectUnauthorized: true,
    ...(cert === undefined ? {} : { cert }),
    ...(key === undefined ? {} : { key }),
    ...(ca === undefined ? {} : { ca })
  }
  createSecureContext(options)
  return options
}

function readFilesVersion (files: DiallerTlsFiles): string {
  return Object.values(files)
    .map(file => statSync(file as string))
    .map(stat => `${stat.mtimeMs} ${stat.ino} ${stat.size}`)
    .join(', ')
}
