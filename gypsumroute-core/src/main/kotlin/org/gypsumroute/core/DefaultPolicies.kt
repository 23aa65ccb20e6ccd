package org.gypsumroute.core
val defaultPolicies: Policies get() = TODO()
