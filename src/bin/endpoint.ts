#!/usr/bin/env node
/** `heatherdoor-endpoint SETTINGS`: runs the process that serves one endpoint. */

import { EndpointProcess } from '../edge/endpoint/process.js'
import { loadEndpointSettings } from '../settings/index.js'
import { runBinary } from './run.js'

runBinary('heatherdoor-endpoint', loadEndpointSettings, settings => Promise.resolve(EndpointProcess.create(settings)))
