-- The plays of reserved.lua, in which no job may stand from 7 s on.
EARLY = true
dofile("regress/fleet/reserved.lua")
