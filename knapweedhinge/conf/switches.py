"""Values of settings that switch a feature on."""

# "agreed" stands for on where the deployment's agreements call for the feature.
ON, OFF, AGREED = "on", "off", "agreed"
SWITCH_VALUES = (ON, OFF, AGREED)
ON_OFF_VALUES = (ON, OFF)
